package plumlever.leader;

import plumlever.fleet.Attempt;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.wire.Heartbeat;

/**
 * Acts on the notice that a machine will be taken away: tasks that can save a checkpoint are
 * stopped in time for it, others are left to finish if they can.
 */
final class PreemptionNotices {
  /** The next heartbeat comes within so many usual intervals. */
  private static final double NEXT_HEARTBEAT_INTERVALS = 1.5;

  private static final int ANSWER_DELIVERY_S = 1;
  private static final int NOTICE_MARGIN_S = 2;
  private static final int GRACE_MARGIN_S = 1;

  private final TermContext context;

  PreemptionNotices(TermContext context) {
    this.context = context;
  }

  /** Stops what could not be saved any more if it were left until the next heartbeat. */
  void apply(Machine machine, Heartbeat heartbeat) {
    if (!heartbeat.hasPreemptionNotice()) {
      return;
    }
    long now = context.loop().nowMicros();
    double untilNextAnswerS =
        NEXT_HEARTBEAT_INTERVALS * context.platform().workers().heartbeatMicros() / 1e6
            + ANSWER_DELIVERY_S;
    for (Attempt attempt : machine.load().attempts()) {
      if (!attempt.over() && attempt.job().spec().savesCheckpoints()) {
        double saveS = attempt.job().spec().checkpointS();
        if (heartbeat.preemptionNoticeS() <= saveS + untilNextAnswerS + NOTICE_MARGIN_S) {
          attempt.requestStop(saveS + GRACE_MARGIN_S, now);
        }
      }
    }
  }
}
