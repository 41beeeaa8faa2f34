package plumlever.leader.heartbeat;

import org.slf4j.Logger;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.wire.Heartbeat;

/**
 * Determines from a machine's own heartbeats whether the answers sent to it arrive. Its heartbeats
 * may come through although nothing reaches it.
 */
final class AnswerDelivery {
  private final Logger log;
  private final TermContext context;
  private final PlacementChange placementChange;

  AnswerDelivery(TermContext context, PlacementChange placementChange) {
    this.context = context;
    this.log = context.logs().of(AnswerDelivery.class);
    this.placementChange = placementChange;
  }

  /**
   * Updates whether the machine counts as unreachable.
   *
   * @param heartbeat sent by the worker itself
   * @param contentLost the heartbeat shows that a start was lost, or that the incarnation changed
   */
  void evaluate(Machine machine, Heartbeat heartbeat, boolean contentLost) {
    boolean wasUnreachable = machine.contact().unreachable();
    if (machine.tokens().lastRenewal() > heartbeat.fencingToken()) {
      machine.contact().recordLostAnswer();
    } else if (contentLost) {
      machine.contact().recordLostAnswer();
      // The token in the next heartbeat shows whether the next answer arrived.
      machine.tokens().raise(machine.tokens().current() + 1);
    } else {
      machine.contact().recordDeliveredAnswer();
    }
    if (machine.contact().unreachable() != wasUnreachable) {
      reachabilityChanged(machine, wasUnreachable);
    }
  }

  private void reachabilityChanged(Machine machine, boolean reachable) {
    placementChange.mark();
    context.metrics().count(reachable ? "machines_reachable_again" : "machines_unreachable");
    log.info(
        "{} {}",
        machine.id(),
        reachable ? "is reachable again" : "sends heartbeats, but no answer seems to reach it");
  }
}
