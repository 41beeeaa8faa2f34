package plumlever.leader.heartbeat;

import java.util.List;
import org.slf4j.Logger;
import plumlever.fleet.Attempt;
import plumlever.fleet.Machine;
import plumlever.fleet.StartChannel;
import plumlever.leader.context.TermContext;
import plumlever.metrics.LogRateLimiter;
import plumlever.wire.Heartbeat;

/**
 * Logs the lifecycle of each attempt, for searches by job or machine. Lines name the task, the
 * attempt, the machine, the incarnation of the worker (the period from one expiry of its lease to
 * the next) and, except for reported states, the token. Lines are logged at debug level only, with
 * a limit on lines per second.
 */
public final class AttemptLog {
  private static final int MAX_LINES_PER_SECOND = 200;

  private final TermContext context;
  private final Logger log;
  private final LogRateLimiter logRateLimiter;

  /** Creates the log of one term's attempts. */
  public AttemptLog(TermContext context) {
    this.context = context;
    this.log = context.loggerProvider().of(AttemptLog.class);
    this.logRateLimiter = new LogRateLimiter(log, MAX_LINES_PER_SECOND);
  }

  private boolean enabled() {
    return logRateLimiter.tryAcquireDebugLine(context.loop().nowMicros());
  }

  /**
   * Logs that the start command of an attempt is sent to its machine.
   *
   * @param channel how the command is sent
   * @param endedJobsReadMicros send time of the latest answered request that read which jobs have
   *     ended
   */
  public void started(Attempt attempt, StartChannel channel, long endedJobsReadMicros) {
    if (enabled()) {
      log.debug(
          "task {} attempt {} is sent to machine {} incarnation {} {} token {}, last read of ended"
              + " jobs sent {} ms ago, incarnation known for {} ms, lease last renewed {} ms ago",
          attempt.name().wireName(),
          attempt.id(),
          attempt.machine().id(),
          attempt.incarnation(),
          channel == StartChannel.DIRECT_COMMAND
              ? "by direct command,"
              : "in a heartbeat response,",
          attempt.machine().tokens().current(),
          millisSince(endedJobsReadMicros),
          millisSince(attempt.machine().contact().incarnationSeenMicros()),
          millisSince(attempt.machine().contact().lastRenewalMicros()));
    }
  }

  /** Returns the milliseconds since the time, or -1 for an event that has not happened. */
  private long millisSince(long micros) {
    return micros < 0 ? -1 : (context.loop().nowMicros() - micros) / 1_000;
  }

  /** Logs that the worker reports the attempt as running. */
  void running(Attempt attempt) {
    logEvent(attempt, "is running");
  }

  /** Logs that the worker reports the attempt as completed. */
  void done(Attempt attempt) {
    logEvent(attempt, "has completed");
  }

  private void logEvent(Attempt attempt, String event) {
    if (enabled()) {
      log.debug(
          "task {} attempt {} {} on machine {} incarnation {}",
          attempt.name().wireName(),
          attempt.id(),
          event,
          attempt.machine().id(),
          attempt.incarnation());
    }
  }

  /**
   * Logs that every response will stop the attempt: its job has ended or its task has completed.
   */
  void stopped(Attempt attempt) {
    if (!attempt.stopping() && enabled()) {
      log.debug(
          "stopping task {} attempt {} on machine {} incarnation {} with token {}: its job has"
              + " ended or the task has completed",
          attempt.name().wireName(),
          attempt.id(),
          attempt.machine().id(),
          attempt.incarnation(),
          attempt.machine().tokens().current());
    }
  }

  /**
   * Logs that the attempt has ended because its incarnation has: a later one has begun, the lease
   * has expired, or the machine has been returned.
   */
  void incarnationEnded(Attempt attempt) {
    logEvent(attempt, "has ended with its incarnation or its machine,");
  }

  /** Logs that a heartbeat proves that the attempt is not on its machine. */
  void absent(Attempt attempt, Heartbeat heartbeat) {
    if (enabled()) {
      log.debug(
          "task {} attempt {} on machine {} incarnation {} has ended: a heartbeat with token {}"
              + " does not list it, its start was sent {}",
          attempt.name().wireName(),
          attempt.id(),
          heartbeat.machineId(),
          heartbeat.incarnation(),
          heartbeat.fencingToken(),
          attempt.directCommandToken() < 0
              ? "in a heartbeat response"
              : "by direct command with token " + attempt.directCommandToken());
    }
  }

  /**
   * Logs that the start commands of these attempts, sent in a direct call to the worker, were not
   * answered in time.
   */
  public void unanswered(Machine machine, long incarnation, long token, List<Attempt> starts) {
    if (enabled()) {
      log.debug(
          "direct command to start {} on machine {} incarnation {} with token {} was not answered:"
              + " the worker may execute it until it has seen a higher token; the next response to"
              + " the worker carries token {}",
          starts.stream()
              .map(attempt -> attempt.name().wireName() + " attempt " + attempt.id())
              .toList(),
          machine.id(),
          incarnation,
          token,
          machine.tokens().current());
    }
  }
}
