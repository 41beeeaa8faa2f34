package plumlever.leader.heartbeat;

import org.slf4j.Logger;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.fleet.RunTimeEstimates;
import plumlever.leader.context.Context;
import plumlever.leader.progress.ProgressWriter;
import plumlever.wire.AttemptState;
import plumlever.wire.ExitCause;
import plumlever.wire.Heartbeat;

/** What follows from the reported state of an attempt that this leader keeps. */
final class AttemptUpdates {
  private final Logger log;
  private final Context context;
  private final Fleet fleet;
  private final RunTimeEstimates estimates;
  private final ProgressWriter progress;
  private final AttemptLog attemptLog;
  private final Runnable changed;

  AttemptUpdates(
      Context context,
      Fleet fleet,
      RunTimeEstimates estimates,
      ProgressWriter progress,
      AttemptLog attemptLog,
      Runnable changed) {
    this.context = context;
    this.log = context.logs().of(AttemptUpdates.class);
    this.fleet = fleet;
    this.estimates = estimates;
    this.progress = progress;
    this.attemptLog = attemptLog;
    this.changed = changed;
  }

  /** Takes the state of an attempt as its machine reports it. */
  void update(Attempt attempt, Heartbeat.AttemptStatus reported, long now) {
    if (attempt.over()) {
      return;
    }
    boolean started =
        reported.state() == AttemptState.RUNNING && attempt.state() != AttemptState.RUNNING;
    if (started && !attempt.job().hasStarted()) {
      context.metrics().recordDuration("first_start", now - attempt.job().acceptedMicros());
    }
    attempt.recordState(reported.state(), now);
    if (started) {
      attempt
          .machine()
          .images()
          .markReady(attempt.job().spec().image(), attempt.job().spec().imageGb());
      context.metrics().recordDuration("start", now - attempt.job().acceptedMicros());
      if (!attempt.adopted()) {
        // What images cost: room that is held while a task waits for its own.
        context
            .metrics()
            .count(
                "core_ms_fetching",
                (long) (attempt.job().spec().cores() * (now - attempt.sentMicros()) / 1_000));
      }
      attemptLog.runs(attempt);
    }
    if (reported.state() == AttemptState.ENDED) {
      ended(attempt, reported.cause(), now);
    }
  }

  private void ended(Attempt attempt, ExitCause cause, long now) {
    Job job = attempt.job();
    Machine machine = attempt.machine();
    changed.run();
    fleet.endAttempt(attempt, cause);
    switch (cause) {
      case DONE -> {
        job.recordSuccess();
        machine.health().recordSuccess();
        if (attempt.runningSinceMicros() >= 0) {
          context
              .metrics()
              .count(
                  "core_ms_running",
                  (long) (job.spec().cores() * (now - attempt.runningSinceMicros()) / 1_000));
        }
        observe(attempt, now);
        attemptLog.done(attempt);
        done(job, attempt.task());
      }
      case ERROR, NO_SUCH -> {
        job.recordError(now);
        context.metrics().count("task_errors");
        log.info("{} ended with {} on {}", attempt.name().wireName(), cause, machine.id());
        if (cause == ExitCause.ERROR && machine.health().recordError(job.uid())) {
          log.warn("{} fails the tasks of several jobs and is drained", machine.id());
          machine.drain();
        }
      }
      case STOPPED -> {
        context.metrics().count("tasks_stopped");
        if (attempt.runningSinceMicros() < 0 && !waitsFor(machine, job.spec().image())) {
          machine.images().cancelFetch(job.spec().image());
        }
      }
      default -> {
        context.metrics().count("tasks_refused");
        log.info("{} was refused by {}: {}", attempt.name().wireName(), machine.id(), cause);
      }
    }
  }

  private static boolean waitsFor(Machine machine, String image) {
    for (Attempt attempt : machine.load().attempts()) {
      if (!attempt.over() && attempt.job().spec().image().equals(image)) {
        return true;
      }
    }
    return false;
  }

  private void observe(Attempt attempt, long now) {
    if (attempt.runningSinceMicros() < 0
        || attempt.adopted()
        || attempt.job().restarted(attempt.task())) {
      return;
    }
    double took = now - attempt.runningSinceMicros();
    double estimate = attempt.job().spec().expectedRunS() * 1e6;
    if (estimate <= 0 || took <= 0) {
      return;
    }
    double planned = estimates.runMicros(attempt.job());
    attempt.machine().health().observeRunTime(took / planned);
    double ratio = took / attempt.machine().health().slowness() / estimate;
    attempt.job().observeRunTimeRatio(ratio);
    estimates.observeRatio(attempt.job().spec().jobClass(), ratio);
  }

  /** The task has completed, wherever it ran. */
  void done(Job job, int task) {
    if (job.over() || job.completedTasks().get(task)) {
      return;
    }
    job.markCompleted(task);
    context.metrics().count("tasks_done");
    progress.taskDone(job, task);
  }
}
