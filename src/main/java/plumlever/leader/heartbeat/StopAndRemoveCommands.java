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
 * The commands that every answer to a heartbeat carries, whatever is planned for the machine: stops
 * of tasks that must not run on, and removals of exited attempts that have been handled.
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

  /** The commands for an answer to this heartbeat, in a list that the caller may extend. */
  List<WorkerCommand> forAnswer(Machine machine, Heartbeat heartbeat) {
    long now = context.loop().nowMicros();
    List<WorkerCommand> commands = new ArrayList<>();
    boolean mayRemove = voidDirectCommands(machine);
    for (Attempt attempt : machine.load().attempts()) {
      if (!attempt.over()) {
        addStop(attempt, now, commands);
      } else if (mayRemove && isHandled(attempt)) {
        commands.add(WorkerCommand.remove(attempt.name(), attempt.id()));
      }
    }
    addForUnknownAttempts(machine, heartbeat, mayRemove, commands);
    return commands;
  }

  /**
   * A worker that has forgotten an attempt would start it again from a late copy of a direct
   * command. So nothing is removed until the answer that says so also voids such copies, which has
   * to wait for a command that is still in flight.
   *
   * @return true if no direct command can be executed any more once the answer has arrived
   */
  private static boolean voidDirectCommands(Machine machine) {
    if (machine.tokens().hasUnvoidedCommand() && !machine.contact().commandInFlight()) {
      machine.tokens().voidDirectCommands();
    }
    return !machine.tokens().hasUnvoidedCommand();
  }

  /** True if the worker has reported how the attempt ended and its result is not needed there. */
  private static boolean isHandled(Attempt attempt) {
    return attempt.exitCause() != null
        && (attempt.exitCause() != ExitCause.DONE
            || attempt.job().over()
            || attempt.job().storedTasks().get(attempt.task()));
  }

  private void addStop(Attempt attempt, long now, List<WorkerCommand> commands) {
    if (attempt.job().over()
        || attempt.job().cancellationConfirmed()
        || attempt.job().completedTasks().get(attempt.task())) {
      attemptLog.stopped(attempt);
      attempt.requestStop(0, now);
    }
    if (attempt.stopping()) {
      commands.add(WorkerCommand.stop(attempt.name(), attempt.id(), attempt.gracePeriodS()));
    }
  }

  /** Attempts that the heartbeat lists and this leader does not track. */
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
        // A heartbeat that shows an earlier term does not account for its machine, but tasks of
        // jobs that have ended are stopped by the first answer: it renews their lease, and the
        // machine may not receive another one.
        if (currentTerm || job == null) {
          commands.add(WorkerCommand.stop(reported.task(), reported.attempt(), 0));
        }
      } else if (currentTerm && mayRemove && isHandled(job, reported)) {
        commands.add(WorkerCommand.remove(reported.task(), reported.attempt()));
      }
    }
  }

  /**
   * The same as {@link #isHandled(Attempt)} for an attempt that is not tracked.
   *
   * @param job null if it is not active
   */
  private static boolean isHandled(Job job, Heartbeat.AttemptStatus reported) {
    return job == null
        || reported.cause() != ExitCause.DONE
        || job.storedTasks().get(reported.task().number());
  }
}
