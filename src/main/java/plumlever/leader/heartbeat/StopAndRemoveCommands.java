package plumlever.leader.heartbeat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import plumlever.fleet.Attempt;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.job.ActiveJobs;
import plumlever.wire.AttemptState;
import plumlever.wire.ExitCause;
import plumlever.wire.Heartbeat;
import plumlever.wire.WorkerCommand;

/**
 * Builds the commands that every response to a heartbeat carries, independent of the scheduling
 * plan: stops of tasks that must not continue to run, and removals of ended attempts whose result
 * the leader has processed.
 */
final class StopAndRemoveCommands {
  private final TermContext context;
  private final ActiveJobs jobs;
  private final Supplier<MachineSharing> sharing;
  private final AttemptLog attemptLog;

  StopAndRemoveCommands(
      TermContext context,
      ActiveJobs jobs,
      Supplier<MachineSharing> sharing,
      AttemptLog attemptLog) {
    this.context = context;
    this.jobs = jobs;
    this.sharing = sharing;
    this.attemptLog = attemptLog;
  }

  /** Returns the stop and remove commands for a response to this heartbeat, in a mutable list. */
  List<WorkerCommand> forResponse(Machine machine, Heartbeat heartbeat) {
    long now = context.loop().nowMicros();
    List<WorkerCommand> commands = new ArrayList<>();
    boolean mayRemove = fenceDirectCommands(machine);
    for (Attempt attempt : machine.load().attempts()) {
      if (!attempt.hasEnded()) {
        addStop(attempt, now, commands);
      } else if (mayRemove && isRemovable(attempt)) {
        commands.add(WorkerCommand.remove(attempt.name(), attempt.id()));
      }
    }
    addForUnknownAttempts(machine, heartbeat, mayRemove, commands);
    return commands;
  }

  /**
   * Raises the machine's token so that the response invalidates all earlier direct commands (those
   * sent in a call to the worker), unless such a command is still in flight. A worker that has
   * removed an attempt would start the attempt again on receiving a delayed duplicate of the direct
   * command. Therefore the leader removes attempts only with a response that also invalidates these
   * duplicates.
   *
   * @return true if no earlier direct command can be executed once the response has arrived
   */
  private static boolean fenceDirectCommands(Machine machine) {
    if (machine.tokens().hasUnfencedCommand() && !machine.contact().commandInFlight()) {
      machine.tokens().fenceDirectCommands();
    }
    return !machine.tokens().hasUnfencedCommand();
  }

  /**
   * Returns whether the worker has reported how the attempt ended and no longer needs to keep the
   * result.
   */
  private static boolean isRemovable(Attempt attempt) {
    return attempt.exitCause() != null
        && (attempt.exitCause() != ExitCause.DONE
            || attempt.job().hasEnded()
            || attempt.job().storedTasks().get(attempt.task()));
  }

  private void addStop(Attempt attempt, long now, List<WorkerCommand> commands) {
    if (attempt.job().hasEnded()
        || attempt.job().cancellationConfirmed()
        || attempt.job().completedTasks().get(attempt.task())) {
      attemptLog.stopped(attempt);
      attempt.requestStop(0, now);
    }
    if (attempt.stopping()) {
      commands.add(WorkerCommand.stop(attempt.name(), attempt.id(), attempt.gracePeriodS()));
    }
  }

  /**
   * Adds the stop and remove commands for attempts that the heartbeat lists and this leader does
   * not track.
   */
  private void addForUnknownAttempts(
      Machine machine, Heartbeat heartbeat, boolean mayRemove, List<WorkerCommand> commands) {
    boolean currentTerm = machine.tokens().isOfSameTerm(heartbeat.fencingToken());
    for (Heartbeat.AttemptStatus reported : heartbeat.attempts()) {
      if (machine.load().attempt(reported.attempt()) != null
          || sharing.get().isForeign(machine, reported.attempt())) {
        continue;
      }
      Job job = jobs.get(reported.task().job());
      if (reported.state() != AttemptState.ENDED) {
        // Tasks of active jobs are not stopped after a heartbeat with a token of an earlier term:
        // such a heartbeat does not show reliably which tasks of earlier leaders run on the
        // machine, and this leader may still adopt them. Tasks of ended jobs are stopped by the
        // first response: it renews the machine's lease, and the machine may not receive another
        // one.
        if (currentTerm || job == null) {
          commands.add(WorkerCommand.stop(reported.task(), reported.attempt(), 0));
        }
      } else if (currentTerm && mayRemove && isRemovable(job, reported)) {
        commands.add(WorkerCommand.remove(reported.task(), reported.attempt()));
      }
    }
  }

  /**
   * Returns whether the worker no longer needs to keep the result of an ended attempt that this
   * leader does not track.
   *
   * @param job the attempt's job, or null if the job is not active
   */
  private static boolean isRemovable(Job job, Heartbeat.AttemptStatus reported) {
    return job == null
        || reported.cause() != ExitCause.DONE
        || job.storedTasks().get(reported.task().number());
  }
}
