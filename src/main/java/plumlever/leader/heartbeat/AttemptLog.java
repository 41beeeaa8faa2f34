package plumlever.leader.heartbeat;

import java.util.List;
import org.slf4j.Logger;
import plumlever.fleet.Attempt;
import plumlever.fleet.Machine;
import plumlever.fleet.StartChannel;
import plumlever.leader.context.TermContext;
import plumlever.metrics.LogBudget;
import plumlever.wire.Heartbeat;

/**
 * Logs the life of each attempt, to be searched by job or machine: each line names task, attempt,
 * machine, incarnation and token. Debug level only, with a limit on lines per second.
 */
public final class AttemptLog {
  private static final int MAX_LINES_PER_SECOND = 200;

  private final TermContext context;
  private final Logger log;
  private final LogBudget logBudget;

  /** A log of the attempts of one term. */
  public AttemptLog(TermContext context) {
    this.context = context;
    this.log = context.logs().of(AttemptLog.class);
    this.logBudget = new LogBudget(log, MAX_LINES_PER_SECOND);
  }

  private boolean enabled() {
    return logBudget.allowsDebug(context.loop().nowMicros());
  }

  /**
   * The attempt is sent to its machine.
   *
   * @param channel how the command goes out
   * @param endsKnownMicros when the latest answered read of ended jobs was sent
   */
  public void started(Attempt attempt, StartChannel channel, long endsKnownMicros) {
    if (enabled()) {
      log.debug(
          "{} attempt {} is sent to {} incarnation {} {} token {}, ended jobs as of {} ms ago",
          attempt.name().wireName(),
          attempt.id(),
          attempt.machine().id(),
          attempt.incarnation(),
          channel == StartChannel.DIRECT_COMMAND ? "by direct command," : "with an answer,",
          attempt.machine().tokens().current(),
          (context.loop().nowMicros() - endsKnownMicros) / 1_000);
    }
  }

  /** The attempt is reported as running. */
  void running(Attempt attempt) {
    debug(attempt, "is running");
  }

  /** The attempt is reported as completed. */
  void done(Attempt attempt) {
    debug(attempt, "is done");
  }

  private void debug(Attempt attempt, String event) {
    if (enabled()) {
      log.debug(
          "{} attempt {} {} on {} incarnation {}",
          attempt.name().wireName(),
          attempt.id(),
          event,
          attempt.machine().id(),
          attempt.incarnation());
    }
  }

  /** The attempt's job has ended, so from now on every answer stops it. */
  void stopped(Attempt attempt) {
    if (!attempt.stopping() && enabled()) {
      log.debug(
          "{} attempt {} on {} incarnation {} is stopped with token {}: its job has ended",
          attempt.name().wireName(),
          attempt.id(),
          attempt.machine().id(),
          attempt.incarnation(),
          attempt.machine().tokens().current());
    }
  }

  /** A heartbeat proves that the attempt is not on its machine, or not any more. */
  void absent(Attempt attempt, Heartbeat heartbeat) {
    if (enabled()) {
      log.debug(
          "{} attempt {} on {} incarnation {} is over: a heartbeat shows token {}, the start was"
              + " sent {}",
          attempt.name().wireName(),
          attempt.id(),
          heartbeat.machineId(),
          heartbeat.incarnation(),
          heartbeat.fencingToken(),
          attempt.directCommandToken() < 0
              ? "with an answer"
              : "with token " + attempt.directCommandToken());
    }
  }

  /** A direct command with these starts was not answered in time. */
  public void unanswered(Machine machine, long incarnation, long token, List<Attempt> sent) {
    if (enabled()) {
      log.debug(
          "starts of {} on {} incarnation {} with token {} were not answered: they may be executed"
              + " until it shows a higher token, its next answer carries {}",
          sent.stream()
              .map(attempt -> attempt.name().wireName() + " attempt " + attempt.id())
              .toList(),
          machine.id(),
          incarnation,
          token,
          machine.tokens().current());
    }
  }
}
