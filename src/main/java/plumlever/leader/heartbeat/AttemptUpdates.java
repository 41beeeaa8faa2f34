package plumlever.leader.heartbeat;

import org.slf4j.Logger;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.fleet.RunTimeEstimates;
import plumlever.leader.context.TermContext;
import plumlever.leader.progress.ProgressWriter;
import plumlever.wire.AttemptState;
import plumlever.wire.ExitCause;
import plumlever.wire.Heartbeat;

/** Updates the attempts that this leader tracks with the states that workers report. */
final class AttemptUpdates {
  private static final double MICROS_PER_SECOND = 1e6;

  private final Logger log;
  private final TermContext context;
  private final Fleet fleet;
  private final RunTimeEstimates estimates;
  private final ProgressWriter progress;
  private final AttemptLog attemptLog;
  private final PlacementChange placementChange;

  AttemptUpdates(
      TermContext context,
      Fleet fleet,
      RunTimeEstimates estimates,
      ProgressWriter progress,
      AttemptLog attemptLog,
      PlacementChange placementChange) {
    this.context = context;
    this.log = context.loggerProvider().of(AttemptUpdates.class);
    this.fleet = fleet;
    this.estimates = estimates;
    this.progress = progress;
    this.attemptLog = attemptLog;
    this.placementChange = placementChange;
  }

  /** Applies the reported state to the attempt, unless the attempt has already ended. */
  void update(Attempt attempt, Heartbeat.AttemptStatus reported, long now) {
    if (attempt.hasEnded()) {
      return;
    }
    boolean started = reported.state() == AttemptState.RUNNING && !attempt.running();
    if (started && !attempt.job().hasStarted()) {
      context.metrics().recordDuration("first_start", now - attempt.job().acceptedMicros());
    }
    attempt.recordState(reported.state(), now);
    if (started) {
      applyStart(attempt, now);
    }
    if (reported.state() == AttemptState.ENDED) {
      applyEnd(attempt, reported.cause(), now);
    }
  }

  private void applyStart(Attempt attempt, long now) {
    Job job = attempt.job();
    attempt.machine().images().markReady(job.spec().image(), job.spec().imageGb());
    context.metrics().recordDuration("start", now - job.acceptedMicros());
    if (!attempt.adopted()) {
      // Counts the time before the task runs: the task occupies its cores while the machine
      // fetches the task's image.
      countCoreMillis("core_ms_fetching", job, now - attempt.startSentMicros());
    }
    attemptLog.running(attempt);
  }

  private void countCoreMillis(String counter, Job job, long micros) {
    context.metrics().count(counter, (long) (job.spec().cores() * micros / 1_000));
  }

  private void applyEnd(Attempt attempt, ExitCause cause, long now) {
    placementChange.mark();
    fleet.endAttempt(attempt, cause);
    switch (cause) {
      case DONE -> applyCompletion(attempt, now);
      case ERROR -> applyError(attempt, now);
      case NO_SUCH -> applyUnknownJob(attempt, now);
      case STOPPED -> applyStop(attempt);
      default -> {
        context.metrics().count("tasks_refused");
        log.info(
            "task {} was refused by machine {}: {}",
            attempt.name().wireName(),
            attempt.machine().id(),
            cause);
      }
    }
  }

  private void applyCompletion(Attempt attempt, long now) {
    attempt.job().recordSuccess(attempt.machine());
    attempt.machine().health().recordSuccess();
    if (attempt.runningSinceMicros() >= 0) {
      countCoreMillis("core_ms_running", attempt.job(), now - attempt.runningSinceMicros());
    }
    observeRunTime(attempt, now);
    attemptLog.done(attempt);
    markTaskCompleted(attempt.job(), attempt.task());
  }

  private void applyError(Attempt attempt, long now) {
    Job job = attempt.job();
    Machine machine = attempt.machine();
    job.recordError(machine, now);
    countError(attempt, ExitCause.ERROR);
    if (machine.health().recordError(job)) {
      context.metrics().count("machines_drained");
      log.warn("draining machine {}: tasks of several jobs have failed on it", machine.id());
      machine.drain();
    }
  }

  private void applyUnknownJob(Attempt attempt, long now) {
    attempt.job().recordUnknownToWorker(now);
    countError(attempt, ExitCause.NO_SUCH);
  }

  private void countError(Attempt attempt, ExitCause cause) {
    context.metrics().count("task_errors");
    log.info(
        "task {} ended with {} on machine {}",
        attempt.name().wireName(),
        cause,
        attempt.machine().id());
  }

  private void applyStop(Attempt attempt) {
    context.metrics().count("tasks_stopped");
    String image = attempt.job().spec().image();
    if (attempt.runningSinceMicros() < 0 && !needsImage(attempt.machine(), image)) {
      attempt.machine().images().cancelFetch(image);
    }
  }

  private static boolean needsImage(Machine machine, String image) {
    for (Attempt attempt : machine.load().attempts()) {
      if (!attempt.hasEnded() && attempt.job().spec().image().equals(image)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Updates the machine's observed speed and the error of the run time estimates. Uses only runs
   * that this leader has observed from start to end: adopted attempts and restarted tasks are
   * skipped.
   */
  private void observeRunTime(Attempt attempt, long now) {
    if (attempt.runningSinceMicros() < 0
        || attempt.adopted()
        || attempt.job().restarted(attempt.task())) {
      return;
    }
    double runMicros = now - attempt.runningSinceMicros();
    double expectedMicros = attempt.job().spec().expectedRunS() * MICROS_PER_SECOND;
    if (expectedMicros <= 0 || runMicros <= 0) {
      return;
    }
    double plannedMicros = estimates.runMicros(attempt.job());
    attempt.machine().health().observeRunTime(runMicros / plannedMicros);
    double ratio = runMicros / attempt.machine().health().slowness() / expectedMicros;
    attempt.job().observeRunTimeRatio(ratio);
    estimates.observeRatio(attempt.job().spec().jobClass(), ratio);
  }

  /**
   * Marks a task as completed, on whichever machine it ran, and has the completion stored. Does
   * nothing if the completion is already known or the job has ended.
   */
  void markTaskCompleted(Job job, int task) {
    if (job.hasEnded() || job.completedTasks().get(task)) {
      return;
    }
    job.markCompleted(task);
    context.metrics().count("tasks_done");
    progress.taskDone(job, task);
  }
}
