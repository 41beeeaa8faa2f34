package plumlever.leader.heartbeat;

import org.slf4j.Logger;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.leader.job.ActiveJobs;
import plumlever.wire.AttemptState;
import plumlever.wire.ExitCause;
import plumlever.wire.Heartbeat;
import plumlever.wire.MachineType;

/** Handles attempts that a heartbeat lists and that this leader does not track on the machine. */
final class UnknownAttempts {
  private final Logger log;
  private final TermContext context;
  private final Fleet fleet;
  private final ActiveJobs jobs;
  private final AttemptUpdates attemptUpdates;
  private final PlacementChange placementChange;

  UnknownAttempts(
      TermContext context,
      Fleet fleet,
      ActiveJobs jobs,
      AttemptUpdates attemptUpdates,
      PlacementChange placementChange) {
    this.context = context;
    this.log = context.loggerProvider().of(UnknownAttempts.class);
    this.fleet = fleet;
    this.jobs = jobs;
    this.attemptUpdates = attemptUpdates;
    this.placementChange = placementChange;
  }

  /**
   * Applies the reported state of an unknown attempt. A completed task counts on whichever machine
   * it ran. A task that an earlier leader started is adopted (tracked like one of this leader's
   * attempts) if no other attempt of the task is live.
   */
  void handle(Machine machine, Heartbeat.AttemptStatus reported, long now) {
    Job job = jobs.get(reported.task().job());
    int task = reported.task().number();
    if (job == null || job.hasEnded() || task >= job.spec().taskCount()) {
      return;
    }
    if (reported.state() == AttemptState.ENDED) {
      if (reported.cause() == ExitCause.DONE) {
        applyCompletion(job, task, now);
      }
    } else if (mayAdopt(machine, job, reported)) {
      adopt(machine, job, reported, now);
    } else if (job.liveAttempt(task) != null) {
      // The attempt is not adopted. Usually the heartbeat that lists it was delayed in the
      // network. Otherwise the task has two attempts, and the response carries a stop command that
      // reaches the second attempt in time.
      log.info(
          "task {} is reported by machine {} but runs on machine {}",
          reported.task().wireName(),
          machine.id(),
          job.liveAttempt(task).machine().id());
    }
  }

  private void applyCompletion(Job job, int task, long now) {
    Attempt liveAttemptOfTask = job.liveAttempt(task);
    if (liveAttemptOfTask != null) {
      liveAttemptOfTask.requestStop(0, now);
    }
    attemptUpdates.markTaskCompleted(job, task);
    placementChange.mark();
  }

  /**
   * Returns whether the reported attempt may be adopted. Only the machine's first heartbeat with a
   * token of this term, which shows all tasks of earlier leaders on it, may add attempts of earlier
   * terms: a heartbeat that was delayed until after the lease had expired lists tasks that have
   * been killed.
   */
  private boolean mayAdopt(Machine machine, Job job, Heartbeat.AttemptStatus reported) {
    int task = reported.task().number();
    return !machine.accounted()
        && fleet.isOfEarlierTerm(reported.attempt())
        && job.inherited()
        && !job.completedTasks().get(task)
        && job.liveAttempt(task) == null;
  }

  private void adopt(Machine machine, Job job, Heartbeat.AttemptStatus reported, long now) {
    Attempt attempt =
        fleet.adoptAttempt(job, reported.task().number(), reported.attempt(), machine, now);
    attempt.recordState(reported.state(), now);
    updateImages(machine, job, reported.state(), now);
    placementChange.mark();
    context.metrics().count("attempts_adopted");
  }

  private void updateImages(Machine machine, Job job, AttemptState state, long now) {
    if (state == AttemptState.RUNNING) {
      machine.images().markReady(job.spec().image(), job.spec().imageGb());
      return;
    }
    MachineType machineType = context.typeCatalog().machineType(machine.machineType());
    if (machineType != null) {
      machine.images().recordUse(job.spec().image(), job.spec().imageGb(), machineType, now);
    }
  }
}
