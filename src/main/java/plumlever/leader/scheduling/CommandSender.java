package plumlever.leader.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.HeartbeatSource;
import plumlever.fleet.Machine;
import plumlever.fleet.StartChannel;
import plumlever.leader.context.TermContext;
import plumlever.leader.heartbeat.AttemptLog;
import plumlever.leader.heartbeat.HeartbeatHandler;
import plumlever.leader.heartbeat.RenewalDelegation;
import plumlever.leader.job.ActiveJobs;
import plumlever.settings.Endpoint;
import plumlever.wire.Heartbeat;
import plumlever.wire.WorkerCommand;

/**
 * Sends direct commands, that is commands in calls to workers and not in responses to heartbeats:
 * starts of planned tasks, which then need not wait for the machine's next heartbeat, and empty
 * commands that raise the fencing token of a machine with unknown tasks of earlier leaders.
 *
 * <p>A direct command may be executed after its call has timed out. Tasks of an unanswered command
 * therefore count as possibly running until the machine reports a higher token or its incarnation
 * has ended. For the same reason, a task that is missing from a heartbeat may still start if the
 * heartbeat carries the token of the start command or a lower one (see {@link
 * plumlever.fleet.MachineTokens#fenceDirectCommands}).
 */
public final class CommandSender {
  private static final long START_TIMEOUT_MICROS = 1_500_000;
  private static final long TOKEN_RAISE_TIMEOUT_MICROS = 1_000_000;

  /**
   * Maximum number of concurrent start commands. The limit leaves sockets and event-loop time for
   * other calls when many tasks start at once.
   */
  private static final int MAX_STARTS_IN_FLIGHT = 48;

  /** Maximum number of concurrent calls that raise a token or request a machine's state. */
  public static final int MAX_TOKEN_RAISES_IN_FLIGHT = 64;

  private final TermContext context;
  private final ActiveJobs jobs;
  private final SchedulingPass pass;
  private final HeartbeatHandler heartbeats;
  private final TaskStarter starter;
  private final RenewalDelegation delegation;
  private final Runnable onPlacementChange;
  private final BiConsumer<Machine, Heartbeat> onResponseApplied;
  private final WorkerCalls calls;
  private final AttemptLog attemptLog;
  private int startsInFlight;
  private int tokenRaisesInFlight;
  private boolean closed;

  /**
   * Creates the sender of direct commands for one term.
   *
   * @param onPlacementChange runs when a worker's response changes the input of placement
   * @param onResponseApplied receives each worker's response that has been applied as the newest
   *     state of its machine
   */
  public CommandSender(
      TermContext context,
      ActiveJobs jobs,
      SchedulingPass pass,
      HeartbeatHandler heartbeats,
      TaskStarter starter,
      RenewalDelegation delegation,
      Runnable onPlacementChange,
      BiConsumer<Machine, Heartbeat> onResponseApplied) {
    this.context = context;
    this.jobs = jobs;
    this.pass = pass;
    this.heartbeats = heartbeats;
    this.starter = starter;
    this.delegation = delegation;
    this.onPlacementChange = onPlacementChange;
    this.onResponseApplied = onResponseApplied;
    this.calls = new WorkerCalls(context);
    this.attemptLog = new AttemptLog(context);
  }

  /**
   * Sends the planned starts to their machines. A start that cannot be sent now goes out with the
   * machine's next heartbeat response or is planned again by the next pass.
   */
  public void dispatch(Fleet fleet) {
    for (String machineId : pass.plannedMachineIds()) {
      if (startsInFlight >= MAX_STARTS_IN_FLIGHT || !context.term().mayAct()) {
        return;
      }
      Machine machine = fleet.machine(machineId);
      if (machine != null) {
        dispatch(machine);
      }
    }
  }

  private void dispatch(Machine machine) {
    Optional<Endpoint> endpoint = endpoint(machine);
    if (endpoint.isEmpty()
        || machine.contact().commandInFlight()
        || machine.load().hasUnconfirmedStart()
        || machine.contact().incarnation() == 0
        || !pass.hasStartablePlan(machine)) {
      return;
    }
    if (!delegation.mayCommand(machine.zone())) {
      context.metrics().count("starts_left_to_heartbeats_delegated");
      return;
    }
    List<WorkerCommand> commands = new ArrayList<>();
    List<Attempt> sent =
        starter.start(machine, pass.planned(machine), StartChannel.DIRECT_COMMAND, commands);
    pass.dropPlan(machine);
    if (!sent.isEmpty()) {
      sendStarts(machine, endpoint.get(), commands, sent);
    }
  }

  private void sendStarts(
      Machine machine, Endpoint endpoint, List<WorkerCommand> commands, List<Attempt> sent) {
    machine.tokens().recordDirectCommand(jobs.endedJobsReadMicros());
    machine.contact().setCommandInFlight(true);
    startsInFlight++;
    long token = machine.tokens().current();
    long incarnation = machine.contact().incarnation();
    long sentMicros = context.loop().nowMicros();
    calls.sendCommands(
        machine,
        endpoint,
        commands,
        START_TIMEOUT_MICROS,
        response -> {
          startsInFlight--;
          machine.contact().setCommandInFlight(false);
          if (closed) {
            return;
          }
          context
              .metrics()
              .recordDuration("direct_command", context.loop().nowMicros() - sentMicros);
          response.heartbeat().ifPresent(heartbeat -> applyResponse(machine, heartbeat));
          if (response instanceof WorkerResponse.Refused) {
            heartbeats.endRefusedStarts(sent);
          } else if (response instanceof WorkerResponse.Unanswered) {
            context.metrics().count("direct_commands_unanswered");
            machine.tokens().fenceDirectCommands();
            attemptLog.unanswered(machine, incarnation, token, sent);
          }
          notifyPlacementChange();
        });
  }

  /**
   * Sends an empty command with the machine's current fencing token. The worker's response lists
   * all tasks that earlier leaders started on the machine.
   *
   * <p>Does nothing while another direct call to the machine is in flight, while the maximum number
   * of token raises is in flight, or when the leader has no right to act. In a delegated zone,
   * where commands are not allowed, only the machine's state is requested.
   */
  public void sendToken(Machine machine) {
    Optional<Endpoint> endpoint = endpointForTokenRaise(machine);
    if (endpoint.isEmpty()) {
      return;
    }
    if (!delegation.mayCommand(machine.zone())) {
      inspect(machine, endpoint.get());
      return;
    }
    tokenRaiseStarted(machine);
    calls.sendCommands(
        machine,
        endpoint.get(),
        List.of(),
        TOKEN_RAISE_TIMEOUT_MICROS,
        response -> {
          tokenRaiseEnded(machine);
          if (!closed && context.term().mayAct()) {
            machine.contact().recordDirectCall(response.heartbeat().isPresent());
            response
                .heartbeat()
                .ifPresent(heartbeat -> handleTokenRaiseResponse(machine, response, heartbeat));
          }
        });
  }

  private void handleTokenRaiseResponse(
      Machine machine, WorkerResponse response, Heartbeat heartbeat) {
    boolean incarnationChanged =
        response instanceof WorkerResponse.Refused
            && heartbeat.incarnation() != machine.contact().incarnation();
    applyResponse(machine, heartbeat);
    if (incarnationChanged && !machine.accounted()) {
      // Sends the command again with the current incarnation, which the response contained: the
      // machine refused the command because it named another incarnation.
      sendToken(machine);
    }
    notifyPlacementChange();
  }

  private void applyResponse(Machine machine, Heartbeat response) {
    if (heartbeats.apply(machine, response, HeartbeatSource.DIRECT_RESPONSE)
        == HeartbeatHandler.Freshness.LATEST) {
      onResponseApplied.accept(machine, response);
    }
  }

  /**
   * Requests the machine's state without sending a command, which also works in delegated zones.
   * Does nothing in the cases in which {@link #sendToken} does nothing.
   */
  public void requestState(Machine machine) {
    endpointForTokenRaise(machine).ifPresent(endpoint -> inspect(machine, endpoint));
  }

  private void inspect(Machine machine, Endpoint endpoint) {
    tokenRaiseStarted(machine);
    calls.inspect(
        machine,
        endpoint,
        TOKEN_RAISE_TIMEOUT_MICROS,
        state -> {
          tokenRaiseEnded(machine);
          machine.contact().recordDirectCall(state.isPresent());
          if (state.isPresent() && !closed && context.term().mayAct()) {
            applyResponse(machine, state.get());
            notifyPlacementChange();
          }
        });
  }

  private void tokenRaiseStarted(Machine machine) {
    tokenRaisesInFlight++;
    machine.contact().setCommandInFlight(true);
  }

  private void tokenRaiseEnded(Machine machine) {
    tokenRaisesInFlight--;
    machine.contact().setCommandInFlight(false);
  }

  /**
   * Returns the machine's endpoint if a call that raises its fencing token or requests its state
   * may be sent now, otherwise empty.
   */
  private Optional<Endpoint> endpointForTokenRaise(Machine machine) {
    return machine.contact().commandInFlight()
            || tokenRaisesInFlight >= MAX_TOKEN_RAISES_IN_FLIGHT
            || !context.term().mayAct()
        ? Optional.empty()
        : endpoint(machine);
  }

  private static Optional<Endpoint> endpoint(Machine machine) {
    return Optional.ofNullable(machine.endpoint()).flatMap(Endpoint::parse);
  }

  private void notifyPlacementChange() {
    if (heartbeats.getAndClearPlacementChanged()) {
      onPlacementChange.run();
    }
  }

  /** Number of calls in flight that raise a machine's fencing token or request its state. */
  public int tokenRaisesInFlight() {
    return tokenRaisesInFlight;
  }

  /**
   * Called at the end of the term. Responses to commands that arrive later have no effect on jobs
   * and machines.
   */
  public void close() {
    closed = true;
  }
}
