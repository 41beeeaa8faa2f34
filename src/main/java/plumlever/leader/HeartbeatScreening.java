package plumlever.leader;

import plumlever.fleet.Fleet;
import plumlever.http.Responder;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.heartbeat.DeferredHeartbeats;
import plumlever.leader.heartbeat.HeartbeatAnswers;
import plumlever.leader.machine.MachineManager;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;

/** Decides which heartbeats this leader must not act on, or not yet, and answers those. */
final class HeartbeatScreening {
  /** So that the leader of the later term is not stood against. */
  private static final long LATER_TERM_PAUSE_MICROS = 1_000_000;

  private final TermContext context;
  private final MachineManager machines;
  private final MachineSharing sharing;
  private final DeferredHeartbeats early;
  private final HeartbeatAnswers answers;
  private boolean recordsLoaded;

  HeartbeatScreening(
      TermContext context,
      MachineManager machines,
      MachineSharing sharing,
      DeferredHeartbeats early,
      HeartbeatAnswers answers) {
    this.context = context;
    this.machines = machines;
    this.sharing = sharing;
    this.early = early;
    this.answers = answers;
  }

  /** What earlier leaders left is known from now on. */
  void recordsLoaded() {
    recordsLoaded = true;
  }

  /**
   * @return true if the heartbeat is answered, or kept to be answered; nothing else may follow from
   *     it
   */
  boolean answered(Heartbeat heartbeat, Responder out) {
    if (!context.term().mayAct()) {
      out.retryLater(HttpStatus.UNAVAILABLE, "not in office", 1);
      return true;
    }
    if (sharing.answerUnlessOwn(heartbeat, out)) {
      return true;
    }
    if (showsLaterTerm(heartbeat)) {
      // Somebody holds a later term, so this one is over whatever this controller believes.
      context.resign(
          "a worker has seen term " + Fleet.termOf(heartbeat.fencingToken()),
          LATER_TERM_PAUSE_MICROS);
      out.retryLater(HttpStatus.UNAVAILABLE, "not in office", 1);
      return true;
    }
    if (machines.isReturned(heartbeat.machineId())) {
      out.retryLater(HttpStatus.UNAVAILABLE, "this machine was returned", 1);
      return true;
    }
    if (recordsLoaded) {
      return false;
    }
    if (heartbeat.holdsTasks()) {
      early.defer(heartbeat, out);
    } else {
      answers.renewIdle(heartbeat, out);
    }
    return true;
  }

  private boolean showsLaterTerm(Heartbeat heartbeat) {
    return sharing.laterTermEndsThisOne()
        && Fleet.termOf(heartbeat.fencingToken()) > context.term().number();
  }
}
