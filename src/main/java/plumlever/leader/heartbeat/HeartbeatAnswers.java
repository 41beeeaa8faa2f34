package plumlever.leader.heartbeat;

import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.http.Responder;
import plumlever.leader.context.Context;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.job.ActiveJobs;
import plumlever.lease.LeaderEvidence;
import plumlever.lease.LeaseRenewal;
import plumlever.lease.RenewalDecision;
import plumlever.lease.RenewalLimit;
import plumlever.lease.RenewalRefusal;
import plumlever.lease.UnansweredCommands;
import plumlever.metrics.LogBudget;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;
import plumlever.wire.WorkerCommand;

/** The leader's answers to heartbeats, as far as they renew a lease or refuse to. */
public final class HeartbeatAnswers {
  private static final int LINES_PER_SECOND = 20;

  private final Context context;
  private final ActiveJobs jobs;
  private final MachineSharing sharing;
  private final LeaseRenewal renewal;
  private final Logger log;
  private final LogBudget lines;

  /** Answers under the evidence that these jobs and this view of a pool give. */
  public HeartbeatAnswers(Context context, ActiveJobs jobs, MachineSharing sharing) {
    this.context = context;
    this.jobs = jobs;
    this.sharing = sharing;
    this.renewal = new LeaseRenewal(new RenewalLimit(context.platform().workers()));
    this.log = context.logs().of(HeartbeatAnswers.class);
    this.lines = new LogBudget(log, LINES_PER_SECOND);
  }

  /** Why the machine's lease may not be renewed now, if it may not. */
  public Optional<RenewalRefusal> refusal(Machine machine, boolean holdsOpenTasks) {
    return renewal.refusal(evidence(machine, holdsOpenTasks), context.loop().nowMicros());
  }

  /**
   * Renews the lease with these commands if it may still be renewed, and refuses it otherwise.
   *
   * @return true if it was renewed
   */
  public boolean send(
      Machine machine,
      Heartbeat heartbeat,
      boolean holdsOpenTasks,
      List<WorkerCommand> commands,
      Responder out) {
    return send(heartbeat, evidence(machine, holdsOpenTasks), commands, out);
  }

  /**
   * Renews the lease of a machine without tasks before the jobs are known: nothing runs there that
   * could have been cancelled, and the term's token voids what a former leader has sent.
   */
  public void sendToIdle(Heartbeat heartbeat, Responder out) {
    LeaderEvidence evidence =
        LeaderEvidence.ofIdleMachine(
            context.term()::mayAct, Fleet.firstToken(context.term().number()));
    send(heartbeat, evidence, List.of(), out);
  }

  private LeaderEvidence evidence(Machine machine, boolean holdsOpenTasks) {
    UnansweredCommands unanswered =
        machine.load().hasUnconfirmedStart()
            ? UnansweredCommands.sentAfter(machine.tokens().endsKnownAtLastCommandMicros())
            : UnansweredCommands.NONE;
    return new LeaderEvidence(
        context.term()::mayAct,
        machine.tokens().current(),
        holdsOpenTasks,
        jobs.endsKnownMicros(),
        unanswered,
        sharing.guestEvidence(machine));
  }

  private boolean send(
      Heartbeat heartbeat, LeaderEvidence evidence, List<WorkerCommand> commands, Responder out) {
    RenewalDecision decision = renewal.answer(evidence, commands, context.loop().nowMicros());
    if (decision instanceof RenewalDecision.Refused refused) {
      refuse(heartbeat, refused.refusal(), out);
      return false;
    }
    out.send(HttpStatus.OK, ((RenewalDecision.Renewed) decision).body());
    return true;
  }

  /** Answers without renewing the lease. */
  public void refuse(Heartbeat heartbeat, RenewalRefusal refusal, Responder out) {
    context.metrics().count("renewals_refused");
    context.metrics().count(refusal.counter());
    long now = context.loop().nowMicros();
    if (lines.allowsDebug(now)) {
      log.debug(
          "the lease of {} incarnation {} is not renewed, token {}: {}, ended jobs as of {} ms ago",
          heartbeat.machineId(),
          heartbeat.incarnation(),
          heartbeat.fencingToken(),
          refusal.reason(),
          (now - jobs.endsKnownMicros()) / 1_000);
    }
    out.later(HttpStatus.UNAVAILABLE, refusal.reason(), 1);
  }
}
