package plumlever.leader.heartbeat;

import java.util.List;
import org.slf4j.Logger;
import plumlever.fleet.Attempt;
import plumlever.fleet.Machine;
import plumlever.leader.context.Context;
import plumlever.metrics.LogBudget;
import plumlever.wire.Heartbeat;

/**
 * The life of each attempt, for one search by job or machine: each line names task, attempt,
 * machine, incarnation and token. Debug lines only, so many a second at most.
 */
public final class AttemptLog {
  private static final int LINES_PER_SECOND = 200;

  private final Context context;
  private final Logger log;
  private final LogBudget lines;

  /** A log of the attempts of one term. */
  public AttemptLog(Context context) {
    this.context = context;
    this.log = context.logs().of(AttemptLog.class);
    this.lines = new LogBudget(log, LINES_PER_SECOND);
  }

  private boolean enabled() {
    return lines.allowsDebug(context.loop().nowMicros());
  }

  /**
   * @param endsKnownMicros when the last heard read of ended jobs had been sent
   */
  public void started(Attempt attempt, boolean direct, long endsKnownMicros) {
    if (enabled()) {
      log.debug(
          "{} attempt {} goes to {} incarnation {} {} token {}, ended jobs as of {} ms ago",
          attempt.name().wireName(),
          attempt.id(),
          attempt.machine().id(),
          attempt.incarnation(),
          direct ? "straight, with" : "with its answer,",
          attempt.machine().tokens().current(),
          (context.loop().nowMicros() - endsKnownMicros) / 1_000);
    }
  }

  void runs(Attempt attempt) {
    say(attempt, "runs");
  }

  void done(Attempt attempt) {
    say(attempt, "is done");
  }

  private void say(Attempt attempt, String what) {
    if (enabled()) {
      log.debug(
          "{} attempt {} {} on {} incarnation {}",
          attempt.name().wireName(),
          attempt.id(),
          what,
          attempt.machine().id(),
          attempt.incarnation());
    }
  }

  /** Its job has ended, so from now on every answer stops it. */
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

  /** Why a start that was never heard of, or a task that is not listed any more, is over. */
  void settled(Attempt attempt, Heartbeat heartbeat) {
    if (enabled()) {
      log.debug(
          "{} attempt {} on {} incarnation {} is over: a heartbeat shows token {}, the start had"
              + " {}",
          attempt.name().wireName(),
          attempt.id(),
          heartbeat.machineId(),
          heartbeat.incarnation(),
          heartbeat.fencingToken(),
          attempt.directCommandToken() < 0 ? "gone with an answer" : attempt.directCommandToken());
    }
  }

  /** These starts had no answer in their time. */
  public void unanswered(Machine machine, long incarnation, long token, List<Attempt> sent) {
    if (enabled()) {
      log.debug(
          "starts of {} on {} incarnation {} with token {} had no answer: they may be carried out"
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
