package plumlever.leader.heartbeat;

import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.http.Responder;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.job.ActiveJobs;
import plumlever.lease.ForeignTaskEvidence;
import plumlever.lease.LeaderEvidence;
import plumlever.lease.LeaseRenewal;
import plumlever.lease.RenewalDecision;
import plumlever.lease.RenewalLimit;
import plumlever.lease.RenewalRefusal;
import plumlever.lease.UnansweredCommands;
import plumlever.metrics.LogRateLimiter;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;
import plumlever.wire.WorkerCommand;

/**
 * Sends the leader's responses to heartbeats. A response either renews the worker's lease or
 * refuses the renewal, depending on what the leader knows, when the response is built, about the
 * machine's tasks and about ended jobs.
 */
public final class HeartbeatResponses {
  private static final int MAX_LINES_PER_SECOND = 20;
  private static final int MAX_RENEWAL_LINES_PER_SECOND = 100;

  private final TermContext context;
  private final ActiveJobs jobs;
  private final MachineSharing sharing;
  private final LeaseRenewal renewal;
  private final Logger log;
  private final LogRateLimiter logRateLimiter;
  private final LogRateLimiter renewalLogLimiter;

  /**
   * Creates a sender of responses that uses the given jobs and the given view of the pool to decide
   * on lease renewals.
   */
  public HeartbeatResponses(TermContext context, ActiveJobs jobs, MachineSharing sharing) {
    this.context = context;
    this.jobs = jobs;
    this.sharing = sharing;
    this.renewal = new LeaseRenewal(new RenewalLimit(context.platform().workers()));
    this.log = context.loggerProvider().of(HeartbeatResponses.class);
    this.logRateLimiter = new LogRateLimiter(log, MAX_LINES_PER_SECOND);
    this.renewalLogLimiter = new LogRateLimiter(log, MAX_RENEWAL_LINES_PER_SECOND);
  }

  /** Returns why the machine's lease must not be renewed now, or empty if it may be renewed. */
  public Optional<RenewalRefusal> refusal(Machine machine, boolean mayRunActiveJobs) {
    return renewal.refusal(evidence(machine, mayRunActiveJobs), context.loop().nowMicros());
  }

  /**
   * Sends a response that renews the lease and carries these commands if the lease may still be
   * renewed, and a refusal otherwise.
   *
   * @return true if the lease was renewed
   */
  public boolean renew(
      Machine machine,
      Heartbeat heartbeat,
      boolean mayRunActiveJobs,
      List<WorkerCommand> commands,
      Responder out) {
    return renew(heartbeat, evidence(machine, mayRunActiveJobs), commands, out);
  }

  /**
   * Renews the lease of a machine without tasks before the leader has loaded the jobs, if every
   * start command of earlier leaders that the machine may still execute was sent lately.
   *
   * @return false if the lease may not be renewed; no response has been sent
   */
  public boolean tryRenewIdle(Heartbeat heartbeat, Responder out) {
    LeaderEvidence evidence =
        new LeaderEvidence(
            context.term()::mayAct,
            Fleet.firstToken(context.term().number()),
            false,
            0,
            UnansweredCommands.NONE,
            context.settledCommands().unansweredOn(heartbeat.machineId()),
            ForeignTaskEvidence.NONE);
    return renewal.refusal(evidence, context.loop().nowMicros()).isEmpty()
        && renew(heartbeat, evidence, List.of(), out);
  }

  private LeaderEvidence evidence(Machine machine, boolean mayRunActiveJobs) {
    UnansweredCommands unansweredCommands =
        machine.load().hasUnconfirmedStart()
            ? UnansweredCommands.sentAfter(machine.tokens().endedJobsReadAtLastCommandMicros())
            : UnansweredCommands.NONE;
    return new LeaderEvidence(
        context.term()::mayAct,
        machine.tokens().current(),
        mayRunActiveJobs,
        jobs.endedJobsReadMicros(),
        unansweredCommands,
        earlierCommands(machine),
        sharing.foreignTaskEvidence(machine));
  }

  private UnansweredCommands earlierCommands(Machine machine) {
    return machine.mayExecuteEarlierCommands()
        ? context.settledCommands().unansweredOn(machine.id())
        : UnansweredCommands.NONE;
  }

  private boolean renew(
      Heartbeat heartbeat, LeaderEvidence evidence, List<WorkerCommand> commands, Responder out) {
    RenewalDecision decision = renewal.decide(evidence, commands, context.loop().nowMicros());
    if (decision instanceof RenewalDecision.Renewed renewed) {
      logRenewal(heartbeat, evidence, commands);
      out.send(HttpStatus.OK, renewed.body());
      return true;
    }
    refuse(heartbeat, ((RenewalDecision.Refused) decision).refusal(), out);
    return false;
  }

  private void logRenewal(
      Heartbeat heartbeat, LeaderEvidence evidence, List<WorkerCommand> commands) {
    long now = context.loop().nowMicros();
    if (renewalLogLimiter.tryAcquireDebugLine(now)) {
      log.debug(
          "lease of machine {} incarnation {} is renewed in response to heartbeat {}: heartbeat"
              + " token {}, response token {}, tasks of active jobs {}, last read of ended jobs"
              + " sent {} ms ago, {} commands",
          heartbeat.machineId(),
          heartbeat.incarnation(),
          heartbeat.sequenceNumber(),
          heartbeat.fencingToken(),
          evidence.token(),
          evidence.mayRunActiveJobs(),
          (now - evidence.endedJobsReadMicros()) / 1_000,
          commands.size());
    }
  }

  /** Sends a refusal, which does not renew the lease. */
  public void refuse(Heartbeat heartbeat, RenewalRefusal refusal, Responder out) {
    context.metrics().count("renewals_refused");
    context.metrics().count(refusal.counter());
    long now = context.loop().nowMicros();
    if (logRateLimiter.tryAcquireDebugLine(now)) {
      log.debug(
          "lease of machine {} incarnation {} is not renewed, heartbeat token {}: {}; last read of"
              + " ended jobs sent {} ms ago",
          heartbeat.machineId(),
          heartbeat.incarnation(),
          heartbeat.fencingToken(),
          refusal.reason(),
          (now - jobs.endedJobsReadMicros()) / 1_000);
    }
    out.retryLater(HttpStatus.SERVICE_UNAVAILABLE, refusal.reason(), 1);
  }
}
