package plumlever.leader;

import plumlever.fleet.Fleet;
import plumlever.http.Responder;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.heartbeat.DeferredHeartbeats;
import plumlever.leader.heartbeat.HeartbeatResponses;
import plumlever.leader.machine.MachineManager;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;

/** Answers or defers the heartbeats that this leader must not act on, or must not act on yet. */
final class HeartbeatScreening {
  /**
   * Time for which this controller does not stand for election after it has seen a later term, to
   * avoid competing with the leader of the later term.
   */
  private static final long LATER_TERM_PAUSE_MICROS = 1_000_000;

  private final TermContext context;
  private final MachineManager machines;
  private final MachineSharing sharing;
  private final DeferredHeartbeats deferredHeartbeats;
  private final HeartbeatResponses responses;
  private boolean recordsLoaded;

  HeartbeatScreening(
      TermContext context,
      MachineManager machines,
      MachineSharing sharing,
      DeferredHeartbeats deferredHeartbeats,
      HeartbeatResponses responses) {
    this.context = context;
    this.machines = machines;
    this.sharing = sharing;
    this.deferredHeartbeats = deferredHeartbeats;
    this.responses = responses;
  }

  /** Called once the records of earlier leaders have been loaded. */
  void recordsLoaded() {
    recordsLoaded = true;
  }

  /**
   * Answers or defers the heartbeat if this leader must not act on it now.
   *
   * @return true if the heartbeat was answered or deferred; the caller must then ignore the
   *     heartbeat
   */
  boolean respondOrDefer(Heartbeat heartbeat, Responder out) {
    if (!context.term().mayAct()) {
      out.retryLater(HttpStatus.SERVICE_UNAVAILABLE, "not in office", 1);
      return true;
    }
    if (sharing.respondUnlessOwn(heartbeat, out)) {
      return true;
    }
    if (showsLaterTerm(heartbeat)) {
      // A controller has been elected for a later term, so this term has ended even if this
      // controller has not noticed it.
      context.resign(
          "a worker has seen a token of the later term " + Fleet.termOf(heartbeat.fencingToken()),
          LATER_TERM_PAUSE_MICROS);
      out.retryLater(HttpStatus.SERVICE_UNAVAILABLE, "not in office", 1);
      return true;
    }
    if (machines.isReturned(heartbeat.machineId())) {
      out.retryLater(HttpStatus.SERVICE_UNAVAILABLE, "this machine was returned", 1);
      return true;
    }
    if (recordsLoaded) {
      return false;
    }
    // Until the records are loaded, this leader does not know which jobs have ended.
    if (heartbeat.hasUnfinishedAttempts() || !responses.tryRenewIdle(heartbeat, out)) {
      deferredHeartbeats.defer(heartbeat, out);
    }
    return true;
  }

  private boolean showsLaterTerm(Heartbeat heartbeat) {
    return sharing.laterTermEndsThisOne()
        && Fleet.termOf(heartbeat.fencingToken()) > context.term().number();
  }
}
