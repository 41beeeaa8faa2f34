package plumlever.leader;

import plumlever.fleet.Attempt;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.wire.Heartbeat;

/**
 * Handles the notice that a machine will be preempted. Tasks that can save a checkpoint are stopped
 * early enough to save it. Other tasks continue to run, as they may complete in the remaining time.
 */
final class PreemptionNotices {
  /** The next heartbeat is expected within this many heartbeat intervals. */
  private static final double NEXT_HEARTBEAT_INTERVALS = 1.5;

  /** Time that the response to a heartbeat needs to reach the worker. */
  private static final int RESPONSE_DELIVERY_S = 1;

  /**
   * Tasks on a machine about to be preempted are stopped this much earlier than their checkpoint
   * requires.
   */
  private static final int NOTICE_MARGIN_S = 2;

  /** Added to the time that a checkpoint takes to get the grace period of the stop command. */
  private static final int GRACE_MARGIN_S = 1;

  private final TermContext context;

  PreemptionNotices(TermContext context) {
    this.context = context;
  }

  /**
   * Stops the tasks that would have too little time left for a checkpoint if they were stopped only
   * at the next heartbeat.
   */
  void apply(Machine machine, Heartbeat heartbeat) {
    if (!heartbeat.hasPreemptionNotice()) {
      return;
    }
    long now = context.loop().nowMicros();
    double untilNextResponseS =
        NEXT_HEARTBEAT_INTERVALS * context.platform().workers().heartbeatMicros() / 1e6
            + RESPONSE_DELIVERY_S;
    for (Attempt attempt : machine.load().attempts()) {
      if (!attempt.hasEnded() && attempt.job().spec().savesCheckpoints()) {
        double saveS = attempt.job().spec().checkpointS();
        if (heartbeat.preemptionNoticeS() <= saveS + untilNextResponseS + NOTICE_MARGIN_S) {
          attempt.requestStop(saveS + GRACE_MARGIN_S, now);
        }
      }
    }
  }
}
