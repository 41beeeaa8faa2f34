package plumlever.lease;

import java.util.List;
import java.util.Optional;
import plumlever.wire.WorkerCommand;

/**
 * The only place where an answer is built that renews a worker's lease: none can be given without
 * evidence. A renewed lease prolongs whatever may still be carried out in its incarnation, so the
 * evidence has to account for commands without an answer as well as for the tasks that are listed.
 */
public final class LeaseRenewal {
  private final RenewalLimit limit;

  /** Builds answers under this limit. */
  public LeaseRenewal(RenewalLimit limit) {
    this.limit = limit;
  }

  /** Why the lease would be refused now, if it would be. */
  public Optional<RenewalRefusal> refusal(RenewalEvidence evidence, long nowMicros) {
    return evidence.refusal(limit, nowMicros);
  }

  /** The answer to a heartbeat, with these commands; to be sent at once or not at all. */
  public RenewalDecision answer(
      RenewalEvidence evidence, List<WorkerCommand> commands, long nowMicros) {
    Optional<RenewalRefusal> refusal = refusal(evidence, nowMicros);
    if (refusal.isPresent()) {
      return new RenewalDecision.Refused(refusal.get());
    }
    return new RenewalDecision.Renewed(WorkerCommand.answer(evidence.token(), commands));
  }
}
