package plumlever.leader.heartbeat;

import org.slf4j.Logger;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.wire.Heartbeat;

/**
 * Determines from the heartbeats that a worker sends whether the leader's responses reach the
 * worker. Heartbeats may arrive although no response gets through in the opposite direction.
 */
final class ResponseDelivery {
  private final Logger log;
  private final TermContext context;
  private final PlacementChange placementChange;

  ResponseDelivery(TermContext context, PlacementChange placementChange) {
    this.context = context;
    this.log = context.loggerProvider().of(ResponseDelivery.class);
    this.placementChange = placementChange;
  }

  /**
   * Updates whether the machine counts as unreachable, that is whether responses fail to reach it.
   *
   * @param heartbeat a heartbeat that the worker sent, not the response to a direct call
   * @param responseLost whether the heartbeat shows that a start command was lost or that the
   *     incarnation changed; a new incarnation begins when the worker's lease has expired
   */
  void evaluate(Machine machine, Heartbeat heartbeat, boolean responseLost) {
    boolean wasUnreachable = machine.contact().unreachable();
    if (machine.tokens().lastRenewalToken() > heartbeat.fencingToken()) {
      machine.contact().recordLostResponse();
    } else if (responseLost) {
      machine.contact().recordLostResponse();
      // The next response carries a higher fencing token. The worker's heartbeat after that
      // response carries the same token if the response has arrived.
      machine.tokens().raise(machine.tokens().current() + 1);
    } else {
      machine.contact().recordDeliveredResponse();
    }
    if (machine.contact().unreachable() != wasUnreachable) {
      reachabilityChanged(machine, wasUnreachable);
    }
  }

  private void reachabilityChanged(Machine machine, boolean reachable) {
    placementChange.mark();
    context.metrics().count(reachable ? "machines_reachable_again" : "machines_unreachable");
    log.info(
        "machine {} {}",
        machine.id(),
        reachable
            ? "is reachable again"
            : "is unreachable: it sends heartbeats, but the responses do not arrive");
  }
}
