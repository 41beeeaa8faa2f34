package plumlever.leader;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import plumlever.fleet.Machine;
import plumlever.http.Responder;
import plumlever.leader.context.TermContext;
import plumlever.leader.heartbeat.HeartbeatResponses;
import plumlever.leader.scheduling.CommandSender;
import plumlever.lease.RenewalRefusal;
import plumlever.wire.Heartbeat;

/**
 * Heartbeats of machines on which a command of an earlier leader, or of a former owner, may still
 * be executed. Each waits for a direct call that raises the machine's fencing token to this term.
 * The response to that call lists every task that such a command can have started, so the lease can
 * then be renewed with the stops of tasks that must not run.
 */
final class RenewalsAwaitingToken {
  /** Longer than the timeout of a direct call; shorter than a worker's request timeout of 4 s. */
  private static final long MAX_WAIT_MICROS = 3_000_000;

  private record Waiting(Heartbeat heartbeat, Responder out) {}

  private final TermContext context;
  private final HeartbeatResponses responses;
  private final CommandSender commands;
  private final Map<Machine, Waiting> byMachine = new HashMap<>();

  RenewalsAwaitingToken(TermContext context, HeartbeatResponses responses, CommandSender commands) {
    this.context = context;
    this.responses = responses;
    this.commands = commands;
  }

  /**
   * Raises the machine's token by a direct call and keeps the heartbeat until the call is answered.
   * The heartbeat is refused if there is no answer in time.
   */
  void add(Machine machine, Heartbeat heartbeat, Responder out) {
    context.metrics().count("renewals_awaiting_token");
    Waiting waiting = new Waiting(heartbeat, out);
    refuse(byMachine.put(machine, waiting));
    commands.sendToken(machine);
    context
        .loop()
        .after(
            MAX_WAIT_MICROS,
            () -> {
              if (byMachine.remove(machine, waiting)) {
                refuse(waiting);
              }
            });
  }

  /**
   * Removes and returns the responder of the machine's waiting heartbeat, if the heartbeat is of
   * the same incarnation. A worker drops the response to a heartbeat of an earlier incarnation.
   */
  Optional<Responder> take(Machine machine, long incarnation) {
    Waiting waiting = byMachine.remove(machine);
    if (waiting == null) {
      return Optional.empty();
    }
    if (waiting.heartbeat.incarnation() != incarnation) {
      refuse(waiting);
      return Optional.empty();
    }
    return Optional.of(waiting.out);
  }

  /** Refuses the machine's waiting heartbeat, if any: the worker has sent a newer one. */
  void refuseWaiting(Machine machine) {
    refuse(byMachine.remove(machine));
  }

  /** Returns whether a heartbeat of the machine waits for the machine to see this term's token. */
  boolean contains(Machine machine) {
    return byMachine.containsKey(machine);
  }

  private void refuse(Waiting waiting) {
    if (waiting != null) {
      responses.refuse(waiting.heartbeat, RenewalRefusal.EARLIER_TERM_COMMAND, waiting.out);
    }
  }
}
