package plumlever.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.concurrent.EventLoop;
import plumlever.election.DelegatedRenewal;
import plumlever.lease.DelegateEvidence;
import plumlever.lease.LeaseRenewal;
import plumlever.lease.RenewalDecision;
import plumlever.lease.RenewalRefusal;
import plumlever.metrics.LogRateLimiter;
import plumlever.metrics.LoggerProvider;
import plumlever.metrics.Metrics;
import plumlever.store.JobRecordCache;
import plumlever.wire.AttemptState;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;
import plumlever.wire.WorkerCommand;

/**
 * Responds to heartbeats on behalf of a leader that cannot reach the workers of a zone. The
 * delegate (the controller that responds) renews leases and stops tasks of ended jobs, but starts
 * nothing.
 *
 * <p>The response carries the fencing token that the leader stored with the delegation. This token
 * invalidates start commands that the leader sent earlier. If the response only repeated the token
 * of the heartbeat, the worker could still execute such a command minutes later, after the job's
 * cancellation. The first response waits until the machine has seen the token, because such a
 * command could also be executed before that response arrives.
 */
public final class DelegatedHeartbeatHandler {
  private static final int MAX_LOG_LINES_PER_SECOND = 20;

  private final EventLoop loop;
  private final DelegatedRenewal delegation;
  private final JobRecordCache jobs;
  private final LeaseRenewal renewal;
  private final TokenRaise tokenRaise;
  private final Metrics metrics;
  private final Logger log;
  private final LogRateLimiter logRateLimiter;

  /**
   * Creates a handler that responds while the delegation (the leader's authorization of this
   * controller to renew leases in a zone) is valid.
   *
   * @param jobs provides the ended jobs, whose tasks are stopped
   * @param httpClient sends the calls that raise the machines' fencing tokens
   */
  public DelegatedHeartbeatHandler(
      EventLoop loop,
      DelegatedRenewal delegation,
      JobRecordCache jobs,
      LeaseRenewal renewal,
      HttpClient httpClient,
      Metrics metrics,
      LoggerProvider loggerProvider) {
    this.loop = loop;
    this.delegation = delegation;
    this.jobs = jobs;
    this.renewal = renewal;
    this.tokenRaise = new TokenRaise(httpClient);
    this.metrics = metrics;
    this.log = loggerProvider.of(DelegatedHeartbeatHandler.class);
    this.logRateLimiter = new LogRateLimiter(log, MAX_LOG_LINES_PER_SECOND);
  }

  /**
   * Responds to the heartbeat if the leader has authorized this controller to renew leases in the
   * worker's zone.
   *
   * @return false if this controller must not renew the lease; no response has been sent
   */
  boolean tryRespond(Heartbeat heartbeat, Responder out) {
    Optional<DelegatedRenewal.RenewalRight> renewalRight =
        delegation.renewalRight(heartbeat.zone());
    // Check the conditions that do not depend on the jobs first, so that no jobs are looked up for
    // a heartbeat that is refused anyway.
    if (renewalRight.isEmpty()) {
      return false;
    }
    Optional<RenewalRefusal> refusal =
        renewal.refusal(
            evidence(renewalRight.get(), heartbeat, loop.nowMicros()), loop.nowMicros());
    if (refusal.isEmpty()) {
      lookUpJobs(heartbeat, out);
      return true;
    }
    if (refusal.get() == RenewalRefusal.UNANSWERED_COMMAND) {
      raiseToken(heartbeat, renewalRight.get(), out);
      return true;
    }
    logRefusal(heartbeat, renewalRight.get(), "before the job lookup");
    return false;
  }

  /**
   * Raises the machine's token to the delegation's by a direct call, and responds to the heartbeat
   * with the tasks that the machine lists after that.
   */
  private void raiseToken(
      Heartbeat heartbeat, DelegatedRenewal.RenewalRight renewalRight, Responder out) {
    metrics.count("tokens_raised_for_leader");
    tokenRaise.send(
        heartbeat,
        renewalRight.token(),
        state ->
            state.ifPresentOrElse(
                shown -> lookUpJobs(shown, out),
                () -> refuse(heartbeat, RenewalRefusal.UNANSWERED_COMMAND, out)));
  }

  private void lookUpJobs(Heartbeat heartbeat, Responder out) {
    jobs.findEnded(
        liveJobIds(heartbeat), endedJobs -> respondWithEndedJobs(heartbeat, endedJobs, out));
  }

  private void respondWithEndedJobs(
      Heartbeat heartbeat, Optional<JobRecordCache.EndedJobs> endedJobs, Responder out) {
    // Check the delegation again, because it may have expired during the job lookup. Without the
    // result of the lookup, the lease must not be renewed, because the response could not stop the
    // tasks of ended jobs.
    Optional<DelegatedRenewal.RenewalRight> renewalRight =
        delegation.renewalRight(heartbeat.zone());
    if (renewalRight.isEmpty()) {
      refuse(heartbeat, RenewalRefusal.DELEGATION_OVER, out);
      return;
    }
    if (endedJobs.isEmpty()) {
      refuse(heartbeat, RenewalRefusal.ENDED_JOBS_UNKNOWN, out);
      return;
    }
    List<WorkerCommand> stopCommands = stopCommands(heartbeat, endedJobs.get().uids());
    DelegateEvidence evidence =
        evidence(renewalRight.get(), heartbeat, endedJobs.get().oldestReadMicros());
    RenewalDecision decision = renewal.decide(evidence, stopCommands, loop.nowMicros());
    if (decision instanceof RenewalDecision.Renewed renewed) {
      logRenewal(heartbeat, evidence, stopCommands);
      metrics.count("leases_renewed_for_leader");
      delegation.announceRenewal();
      out.send(HttpStatus.OK, renewed.body());
    } else if (decision instanceof RenewalDecision.Refused refused) {
      refuse(heartbeat, refused.refusal(), out);
    }
  }

  private static DelegateEvidence evidence(
      DelegatedRenewal.RenewalRight renewalRight, Heartbeat heartbeat, long endedJobsReadMicros) {
    return new DelegateEvidence(
        renewalRight.token(),
        heartbeat.fencingToken(),
        renewalRight.validUntilMicros(),
        endedJobsReadMicros);
  }

  private static Set<String> liveJobIds(Heartbeat heartbeat) {
    Set<String> uids = new HashSet<>();
    for (Heartbeat.AttemptStatus attempt : heartbeat.attempts()) {
      if (isLive(attempt)) {
        uids.add(attempt.task().job());
      }
    }
    return uids;
  }

  private static boolean isLive(Heartbeat.AttemptStatus attempt) {
    return attempt.state() != AttemptState.ENDED;
  }

  private static List<WorkerCommand> stopCommands(Heartbeat heartbeat, Set<String> ended) {
    List<WorkerCommand> stopCommands = new ArrayList<>();
    for (Heartbeat.AttemptStatus attempt : heartbeat.attempts()) {
      if (isLive(attempt) && ended.contains(attempt.task().job())) {
        stopCommands.add(WorkerCommand.stop(attempt.task(), attempt.attempt(), 0));
      }
    }
    return stopCommands;
  }

  private void refuse(Heartbeat heartbeat, RenewalRefusal refusal, Responder out) {
    metrics.count(refusal.counter());
    if (logRateLimiter.tryAcquireDebugLine(loop.nowMicros())) {
      log.debug(
          "lease of machine {} (incarnation {}) not renewed on behalf of the leader, machine's"
              + " fencing token {}: {}",
          heartbeat.machineId(),
          heartbeat.incarnation(),
          heartbeat.fencingToken(),
          refusal.reason());
    }
    out.retryLater(HttpStatus.SERVICE_UNAVAILABLE, refusal.reason(), 1);
  }

  private void logRefusal(
      Heartbeat heartbeat, DelegatedRenewal.RenewalRight renewalRight, String when) {
    if (logRateLimiter.tryAcquireDebugLine(loop.nowMicros())) {
      log.debug(
          "lease of machine {} (incarnation {}) not renewed on behalf of the leader, refused {}:"
              + " machine's fencing token {}, delegation's token {}",
          heartbeat.machineId(),
          heartbeat.incarnation(),
          when,
          heartbeat.fencingToken(),
          renewalRight.token());
    }
  }

  /**
   * Logs a lease renewal that raises the fencing token or stops tasks. Other renewals change
   * nothing for the worker and are not logged.
   */
  private void logRenewal(
      Heartbeat heartbeat, DelegateEvidence evidence, List<WorkerCommand> stopCommands) {
    boolean raises = evidence.token() > heartbeat.fencingToken();
    if ((raises || !stopCommands.isEmpty())
        && logRateLimiter.tryAcquireDebugLine(loop.nowMicros())) {
      log.debug(
          "lease of machine {} (incarnation {}) renewed on behalf of the leader: fencing token {}"
              + " replaces {}, ended jobs as of {} ms ago, stop commands {}",
          heartbeat.machineId(),
          heartbeat.incarnation(),
          evidence.token(),
          heartbeat.fencingToken(),
          (loop.nowMicros() - evidence.endedJobsReadMicros()) / 1_000,
          stopCommands);
    }
  }
}
