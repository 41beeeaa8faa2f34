package plumlever.lease;

import java.util.List;
import java.util.Optional;
import plumlever.wire.WorkerCommand;

/**
 * Builds all responses that renew a worker's lease. No other class builds them, so no lease is
 * renewed without a check of the renewal evidence. A renewed lease extends the worker's incarnation
 * (the period from one expiry of its lease to the next), in which the worker may still execute
 * commands that are in flight. The check therefore covers unanswered commands as well as the tasks
 * that the heartbeat lists.
 */
public final class LeaseRenewal {
  private final RenewalLimit limit;

  /** Creates a builder of heartbeat responses that renews leases only within this limit. */
  public LeaseRenewal(RenewalLimit limit) {
    this.limit = limit;
  }

  /**
   * Returns why renewal of the machine's lease would be refused now, or empty if the lease may be
   * renewed.
   */
  public Optional<RenewalRefusal> refusal(RenewalEvidence evidence, long nowMicros) {
    return evidence.refusal(limit, nowMicros);
  }

  /**
   * Returns the response that renews the lease and carries these commands, or the reason if this
   * evidence does not allow the renewal. The caller must send the response immediately or discard
   * it.
   */
  public RenewalDecision decide(
      RenewalEvidence evidence, List<WorkerCommand> commands, long nowMicros) {
    Optional<RenewalRefusal> refusal = refusal(evidence, nowMicros);
    if (refusal.isPresent()) {
      return new RenewalDecision.Refused(refusal.get());
    }
    return new RenewalDecision.Renewed(WorkerCommand.heartbeatResponse(evidence.token(), commands));
  }
}
