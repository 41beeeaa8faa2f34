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
 * Shows the term's token to machines not accounted for, without waiting for their heartbeats; and
 * now and then to those that nothing seems to reach, whose heartbeats are not answered meanwhile.
 */
record TokenRaiser(TermContext context, Fleet fleet, Failover failover, CommandSender commands) {
  private static final long FAILOVER_INTERVAL_MICROS = 100_000;
  private static final long UNREACHABLE_INTERVAL_MICROS = 4_000_000;

  /** Within this time after an answer the machine's next heartbeat shows the token. */
  private static final long ANSWER_SHOWS_TOKEN_MICROS = 2_000_000;

  private static final long LATE_FROM_MICROS = 50_000;

  /** Enough to find out the machines that are gone. */
  private static final int MAX_CALLS_WHILE_LATE = 6;

  /** Runs as a recurring task; returns the pause until the next run. */
  long run() {
    long startedMicros = context.loop().nowMicros();
    if (context.term().mayAct()) {
      raiseOnUnaccounted();
      if (failover.isComplete()) {
        raiseOnUnreachable();
      }
    }
    context.metrics().recordWork("token_raise", context.loop().nowMicros() - startedMicros);
    return failover.isComplete() ? UNREACHABLE_INTERVAL_MICROS : FAILOVER_INTERVAL_MICROS;
  }

  private void raiseOnUnaccounted() {
    long now = context.loop().nowMicros();
    // Those that did not answer come last: dozens behind a cut would else be called again and
    // again, and nobody else.
    List<Machine> unaccounted = new ArrayList<>(failover.unaccounted());
    unaccounted.sort(
        Comparator.comparingInt(machine -> machine.contact().consecutiveFailedCalls()));
    int maxCalls = maxCalls();
    for (Machine machine : unaccounted) {
      if (commands.tokenRaisesInFlight() >= maxCalls) {
        break;
      }
      if (!showsTokenSoon(machine, now)) {
        commands.sendToken(machine);
      }
    }
  }

  /**
   * Where time is short, calls make way for the heartbeats that come anyhow: both tell the same,
   * and all machines that still work report within seconds.
   */
  private int maxCalls() {
    return context.latenessMicros().getAsLong() > LATE_FROM_MICROS
        ? MAX_CALLS_WHILE_LATE
        : Integer.MAX_VALUE;
  }

  private static boolean showsTokenSoon(Machine machine, long now) {
    long lastAnswer = machine.contact().lastRenewalMicros();
    return lastAnswer >= 0 && now - lastAnswer <= ANSWER_SHOWS_TOKEN_MICROS;
  }

  private void raiseOnUnreachable() {
    for (Machine machine : fleet.machines()) {
      if (machine.contact().unreachable()) {
        commands.sendToken(machine);
      }
    }
  }
}
