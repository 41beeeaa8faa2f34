package plumlever.leader;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.scheduling.CommandSender;

/**
 * Sends raised fencing tokens to machines by direct call. During a failover, machines that may run
 * unknown tasks of earlier leaders receive the term's token without having to send a heartbeat
 * first. Unreachable machines are called periodically, because their heartbeats are not answered.
 */
record TokenRaiser(
    TermContext context,
    Fleet fleet,
    Failover failover,
    CommandSender commands,
    RenewalsAwaitingToken awaitingToken) {
  private static final long FAILOVER_INTERVAL_MICROS = 100_000;
  private static final long UNREACHABLE_INTERVAL_MICROS = 4_000_000;

  /**
   * A machine is not called within this time after a heartbeat response was sent to it, because its
   * next heartbeat shows whether it has seen the response's token.
   */
  private static final long RESPONSE_SHOWS_TOKEN_MICROS = 2_000_000;

  /**
   * The lateness of the loop thread above which the number of concurrent calls to workers is
   * limited.
   */
  private static final long LATENESS_THRESHOLD_MICROS = 50_000;

  /**
   * The limit on concurrent calls to workers while the loop thread is late; enough to detect the
   * machines that no longer exist.
   */
  private static final int MAX_CALLS_WHILE_LATE = 6;

  /**
   * Calls machines that may not have seen the current fencing token; returns the pause in
   * microseconds until the next call.
   */
  long run() {
    long startedMicros = context.loop().nowMicros();
    if (context.term().mayAct()) {
      sendToUnaccounted();
      if (failover.isComplete()) {
        sendToUnreachable();
      }
    }
    context.metrics().recordWork("token_raise", context.loop().nowMicros() - startedMicros);
    return failover.isComplete() ? UNREACHABLE_INTERVAL_MICROS : FAILOVER_INTERVAL_MICROS;
  }

  private void sendToUnaccounted() {
    if (commands.tokenRaisesInFlight() >= CommandSender.MAX_TOKEN_RAISES_IN_FLIGHT) {
      return;
    }
    // Machines whose heartbeats wait for the call come first. Machines that did not respond to
    // earlier calls are called last. Otherwise dozens of machines behind a network partition would
    // be called repeatedly and no other machine would be called.
    List<Machine> unaccounted = new ArrayList<>(failover.unaccounted());
    unaccounted.sort(
        Comparator.comparing((Machine machine) -> !awaitingToken.contains(machine))
            .thenComparingInt(machine -> machine.contact().consecutiveFailedCalls()));
    int maxCalls = maxCalls();
    for (Machine machine : unaccounted) {
      int limit =
          awaitingToken.contains(machine) ? CommandSender.MAX_TOKEN_RAISES_IN_FLIGHT : maxCalls;
      if (commands.tokenRaisesInFlight() >= limit) {
        break;
      }
      if (!showsTokenSoon(machine)) {
        commands.sendToken(machine);
      }
    }
  }

  private boolean showsTokenSoon(Machine machine) {
    long lastRenewal = machine.contact().lastRenewalMicros();
    return lastRenewal >= 0
        && context.loop().nowMicros() - lastRenewal <= RESPONSE_SHOWS_TOKEN_MICROS;
  }

  /**
   * Returns the maximum number of concurrent calls that raise the fencing tokens of machines none
   * of whose heartbeats waits for the call. While the loop thread is late, the number is low so
   * that heartbeats are handled first: every working machine sends a heartbeat within seconds.
   */
  private int maxCalls() {
    return context.latenessMicros().getAsLong() > LATENESS_THRESHOLD_MICROS
        ? MAX_CALLS_WHILE_LATE
        : CommandSender.MAX_TOKEN_RAISES_IN_FLIGHT;
  }

  private void sendToUnreachable() {
    for (Machine machine : fleet.machines()) {
      if (machine.contact().unreachable()) {
        commands.sendToken(machine);
      }
    }
  }
}
