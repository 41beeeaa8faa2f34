package plumlever.leader;

import plumlever.fleet.Fleet;
import plumlever.leader.context.TermContext;
import plumlever.leader.scheduling.CommandSender;
import plumlever.leader.scheduling.SchedulingPass;

/**
 * Decides when scheduling passes run. Requests for a pass are coalesced: the pause after a pass is
 * a multiple of the time that the pass took, so that heartbeats and users' requests are handled
 * first.
 */
final class SchedulingPasses {
  private static final long MIN_PAUSE_MICROS = 150_000;
  private static final long MAX_PAUSE_MICROS = 1_500_000;
  private static final int PAUSE_FACTOR = 3;

  /** The pause before a pass for the jobs that a pass has left out, if nothing else requests it. */
  private static final long LEFT_OUT_PAUSE_MICROS = 1_000_000;

  /** The pause before the resumption of a pass that has used up its time budget. */
  private static final long RESUME_PAUSE_MICROS = 5_000;

  private final TermContext context;
  private final Fleet fleet;
  private final SchedulingPass pass;
  private final CommandSender commands;
  private boolean requested = true;
  private long leftOutDueMicros = Long.MAX_VALUE;

  SchedulingPasses(TermContext context, Fleet fleet, SchedulingPass pass, CommandSender commands) {
    this.context = context;
    this.fleet = fleet;
    this.pass = pass;
    this.commands = commands;
  }

  /** Requests a pass because an input of placement has changed. */
  void request() {
    requested = true;
  }

  /**
   * Sends the planned starts of jobs that have been added to the stored index of started jobs,
   * which has to precede the first start of a job, and requests a pass.
   */
  void startedJobsRecorded() {
    requested = true;
    commands.dispatch(fleet);
  }

  /**
   * Runs a scheduling pass, or resumes one, if a pass was requested; returns the pause in
   * microseconds until the next call.
   */
  long run() {
    if (!isDue() || !context.term().mayAct()) {
      return MIN_PAUSE_MICROS;
    }
    if (fleet.attemptNumbersNearlyExhausted()) {
      context.resignForExhaustedNumbers();
      return MIN_PAUSE_MICROS;
    }
    boolean finished = runPass();
    if (!finished) {
      return RESUME_PAUSE_MICROS;
    }
    requested = false;
    leftOutDueMicros =
        pass.hasLeftOut() ? context.loop().nowMicros() + LEFT_OUT_PAUSE_MICROS : Long.MAX_VALUE;
    // The pause is longer if the loop thread is late, because queued heartbeats and requests must
    // be handled first.
    long pause = PAUSE_FACTOR * Math.max(pass.spentMicros(), context.latenessMicros().getAsLong());
    return Math.max(MIN_PAUSE_MICROS, Math.min(MAX_PAUSE_MICROS, pause));
  }

  private boolean isDue() {
    return requested || context.loop().nowMicros() >= leftOutDueMicros;
  }

  private boolean runPass() {
    long startedMicros = context.loop().nowMicros();
    boolean finished = pass.run();
    long passEndedMicros = context.loop().nowMicros();
    commands.dispatch(fleet);
    context.metrics().recordWork("passes", passEndedMicros - startedMicros);
    context.metrics().recordWork("dispatch", context.loop().nowMicros() - passEndedMicros);
    return finished;
  }
}
