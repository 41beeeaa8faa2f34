package plumlever.leader.scheduling;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.leader.context.Context;
import plumlever.leader.heartbeat.AttemptLog;
import plumlever.leader.heartbeat.HeartbeatHandler;
import plumlever.leader.heartbeat.RenewalDelegation;
import plumlever.leader.job.ActiveJobs;
import plumlever.settings.Endpoint;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.ProtocolPath;
import plumlever.wire.WorkerCommand;

/**
 * Orders sent straight to machines: planned tasks, so that they need not wait for the next
 * heartbeat, and empty ones that raise the token on machines that must be accounted for. A direct
 * order may be carried out late. So one that got no answer leaves its tasks possibly running, until
 * the machine has shown a higher token or its incarnation has ended; and nothing started this way
 * is removed with the token that started it (see {@link Machine#voidDirect}).
 */
public final class CommandSender {
  private static final long START_TIMEOUT_MICROS = 1_500_000;
  private static final long RAISE_TIMEOUT_MICROS = 1_000_000;

  /**
   * Calls under way at a time, so that a wave of starts leaves sockets and time for everybody else.
   */
  private static final int MOST_STARTS = 48;

  private static final int MOST_RAISES = 64;

  private final Logger log;
  private final Context context;
  private final SchedulingPass pass;
  private final HeartbeatHandler heartbeats;
  private final TaskStarter starter;
  private final RenewalDelegation delegation;
  private final Runnable changed;
  private final ActiveJobs jobs;
  private final AttemptLog attemptLog;
  private int starts;
  private int tokenRaisesInFlight;
  private boolean closed;

  /**
   * Sends the commands of one term.
   *
   * @param changed runs when an answer changed something that placement depends on
   */
  public CommandSender(
      Context context,
      ActiveJobs jobs,
      SchedulingPass pass,
      HeartbeatHandler heartbeats,
      TaskStarter starter,
      RenewalDelegation delegation,
      Runnable changed) {
    this.context = context;
    this.starter = starter;
    this.delegation = delegation;
    this.log = context.logs().of(CommandSender.class);
    this.attemptLog = new AttemptLog(context);
    this.jobs = jobs;
    this.pass = pass;
    this.heartbeats = heartbeats;
    this.changed = changed;
  }

  /**
   * Sends what the pass planned; what can't go now goes with the machine's next heartbeat, or is
   * planned anew.
   */
  public void dispatch(Fleet fleet) {
    for (String machineId : pass.plannedMachineIds()) {
      if (starts >= MOST_STARTS || !context.term().mayAct()) {
        return;
      }
      Machine machine = fleet.machine(machineId);
      Endpoint at =
          machine == null || machine.endpoint() == null ? null : Endpoint.parse(machine.endpoint());
      if (at == null
          || machine.contact().commandInFlight()
          || machine.load().hasUnconfirmedStart()
          || machine.contact().incarnation() == 0
          || !pass.hasRecordedPlan(machine)) {
        continue;
      }
      if (!delegation.mayCommand(machine.zone())) {
        context.metrics().count("starts_left_to_heartbeats_delegated");
        continue;
      }
      List<WorkerCommand> commands = new ArrayList<>();
      List<Attempt> sent = starter.start(machine, pass.planned(machine), true, commands);
      pass.dropPlan(machine);
      if (!sent.isEmpty()) {
        start(machine, at, commands, sent);
      }
    }
  }

  private void start(
      Machine machine, Endpoint at, List<WorkerCommand> commands, List<Attempt> sent) {
    machine.tokens().commandSent(jobs.endsKnownMicros());
    machine.contact().commandInFlight(true);
    starts++;
    long token = machine.tokens().current();
    long incarnation = machine.contact().incarnation();
    long since = context.loop().nowMicros();
    call(
        machine,
        at,
        commands,
        START_TIMEOUT_MICROS,
        (status, r) -> {
          starts--;
          machine.contact().commandInFlight(false);
          if (closed) {
            return;
          }
          context.metrics().time("direct_command", context.loop().nowMicros() - since);
          if (r != null) {
            heartbeats.apply(machine, r, false);
          }
          if (status == HttpStatus.CONFLICT) {
            heartbeats.refused(sent);
          } else if (status != HttpStatus.OK || r == null) {
            context.metrics().count("direct_commands_unanswered");
            machine.tokens().voidDirectCommands();
            attemptLog.unanswered(machine, incarnation, token, sent);
          }
          if (heartbeats.takeChanged()) {
            changed.run();
          }
        });
  }

  /**
   * Shows the machine the present token; what it answers tells all that earlier leaders started on
   * it. Asked often, it calls no machine again before the last call came to its end, and only so
   * many at a time.
   */
  public void raiseToken(Machine machine) {
    Endpoint at = machine.endpoint() == null ? null : Endpoint.parse(machine.endpoint());
    if (at == null
        || machine.contact().commandInFlight()
        || tokenRaisesInFlight >= MOST_RAISES
        || !context.term().mayAct()) {
      return;
    }
    if (!delegation.mayCommand(machine.zone())) {
      probe(machine);
      return;
    }
    tokenRaisesInFlight++;
    machine.contact().commandInFlight(true);
    call(
        machine,
        at,
        List.of(),
        RAISE_TIMEOUT_MICROS,
        (status, r) -> {
          tokenRaisesInFlight--;
          machine.contact().commandInFlight(false);
          if (closed || !context.term().mayAct()) {
            return;
          }
          machine.contact().directCallEnded(r != null);
          if (r == null) {
            return;
          }
          boolean otherIncarnation =
              status == HttpStatus.CONFLICT && r.incarnation() != machine.contact().incarnation();
          heartbeats.apply(machine, r, false);
          if (otherIncarnation && !machine.accounted()) {
            raiseToken(machine);
          }
          if (heartbeats.takeChanged()) {
            changed.run();
          }
        });
  }

  /** Asks the machine how it is, without a command: it may be in a zone where none may be sent. */
  public void probe(Machine machine) {
    Endpoint at = machine.endpoint() == null ? null : Endpoint.parse(machine.endpoint());
    if (at == null
        || machine.contact().commandInFlight()
        || tokenRaisesInFlight >= MOST_RAISES
        || !context.term().mayAct()) {
      return;
    }
    tokenRaisesInFlight++;
    machine.contact().commandInFlight(true);
    context
        .caller()
        .call(
            at,
            "GET",
            ProtocolPath.INSPECT,
            null,
            RAISE_TIMEOUT_MICROS,
            (status, data) -> {
              tokenRaisesInFlight--;
              machine.contact().commandInFlight(false);
              Heartbeat heartbeat = status == HttpStatus.OK ? read(machine, data) : null;
              machine.contact().directCallEnded(heartbeat != null);
              if (closed || heartbeat == null || !context.term().mayAct()) {
                return;
              }
              heartbeats.apply(machine, heartbeat, false);
              if (heartbeats.takeChanged()) {
                changed.run();
              }
            });
  }

  /** How many machines are being called to raise the token. */
  public int tokenRaisesInFlight() {
    return tokenRaisesInFlight;
  }

  private interface Answer {
    /**
     * @param heartbeat null unless the machine answered with one of its own
     */
    void take(int status, Heartbeat heartbeat);
  }

  private void call(
      Machine machine, Endpoint at, List<WorkerCommand> commands, long timeoutMicros, Answer then) {
    byte[] body =
        WorkerCommand.direct(
                machine.tokens().current(), Math.max(1, machine.contact().incarnation()), commands)
            .getBytes(StandardCharsets.UTF_8);
    context
        .caller()
        .call(
            at,
            "POST",
            ProtocolPath.COMMANDS,
            body,
            timeoutMicros,
            (status, data) -> {
              boolean tells = status == HttpStatus.OK || status == HttpStatus.CONFLICT;
              then.take(status, tells ? read(machine, data) : null);
            });
  }

  /** The machine's own heartbeat, or null if it can't be read or is another's. */
  private Heartbeat read(Machine machine, byte[] data) {
    try {
      Heartbeat heartbeat = Heartbeat.parse(data);
      return heartbeat.machineId().equals(machine.id()) ? heartbeat : null;
    } catch (InvalidMessageException e) {
      log.warn("the direct answer of {} can't be read: {}", machine.id(), e.getMessage());
      return null;
    }
  }

  public void close() {
    closed = true;
  }
}
