package plumlever.leader;

import java.util.List;
import java.util.Optional;
import plumlever.fleet.Machine;
import plumlever.http.Responder;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.heartbeat.HeartbeatHandler;
import plumlever.leader.heartbeat.HeartbeatResponses;
import plumlever.leader.scheduling.CommandSender;
import plumlever.lease.RenewalRefusal;
import plumlever.wire.Heartbeat;
import plumlever.wire.WorkerCommand;

/**
 * Answers a heartbeat: renews the machine's lease and sends all commands that are due, or refuses
 * the renewal for one of the reasons in {@link RenewalRefusal}.
 */
final class LeaseRenewalResponder {
  private final TermContext context;
  private final HeartbeatHandler heartbeats;
  private final HeartbeatResponses responses;
  private final MachineSharing sharing;
  private final PlannedStarts plannedStarts;
  private final CommandSender commands;
  private final RenewalsAwaitingToken awaitingToken;

  LeaseRenewalResponder(
      TermContext context,
      HeartbeatHandler heartbeats,
      HeartbeatResponses responses,
      MachineSharing sharing,
      PlannedStarts plannedStarts,
      CommandSender commands,
      RenewalsAwaitingToken awaitingToken) {
    this.context = context;
    this.heartbeats = heartbeats;
    this.responses = responses;
    this.sharing = sharing;
    this.plannedStarts = plannedStarts;
    this.commands = commands;
    this.awaitingToken = awaitingToken;
  }

  /**
   * Answers a heartbeat that has been applied.
   *
   * @param newest whether the heartbeat is the newest of its machine
   */
  void respond(Machine machine, Heartbeat heartbeat, boolean newest, Responder out) {
    awaitingToken.refuseWaiting(machine);
    // The machine may run attempts that only the response to a direct call has listed.
    boolean mayRunActiveJobs =
        heartbeats.holdsTasksOfActiveJobs(heartbeat) || machine.load().liveAttempts() > 0;
    Optional<RenewalRefusal> refusal = responses.refusal(machine, mayRunActiveJobs);
    if (refusal.isPresent()) {
      refuse(machine, heartbeat, refusal.get(), out);
      return;
    }
    List<WorkerCommand> due = heartbeats.stopAndRemoveCommands(machine, heartbeat);
    due.addAll(sharing.foreignTaskCommands(machine, heartbeat));
    if (newest && machine.tokens().isOfSameTerm(heartbeat.fencingToken())) {
      plannedStarts.addTo(due, machine);
    }
    // The leader's right to act may have ended since the check above if this thread ran late, so
    // renew() checks the right again.
    if (responses.renew(machine, heartbeat, mayRunActiveJobs, due, out)) {
      machine.recordRenewal(context.loop().nowMicros());
    }
  }

  /**
   * Answers the machine's waiting heartbeat after the response to a direct call has been applied,
   * if the response shows that no command of an earlier leader can be executed any more.
   *
   * @param shown the response, which lists all tasks on the machine
   */
  void directResponseApplied(Machine machine, Heartbeat shown) {
    if (!machine.mayExecuteEarlierCommands()) {
      awaitingToken
          .take(machine, shown.incarnation())
          .ifPresent(out -> respond(machine, shown, false, out));
    }
  }

  private void refuse(Machine machine, Heartbeat heartbeat, RenewalRefusal refusal, Responder out) {
    if (refusal == RenewalRefusal.EARLIER_TERM_COMMAND) {
      awaitingToken.add(machine, heartbeat, out);
      return;
    }
    responses.refuse(heartbeat, refusal, out);
    if (refusal == RenewalRefusal.UNANSWERED_COMMAND) {
      // A higher fencing token invalidates the unanswered command, so that the response to the next
      // heartbeat can renew the lease.
      commands.sendToken(machine);
    }
  }
}
