package plumlever.drill;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The task history as observed at the emulated workers: how often each task was started and
 * completed, and violations such as two attempts of a task running at the same time.
 */
final class TaskResults {
  private final Map<String, Integer> starts = new HashMap<>();
  private final Map<String, Integer> completions = new HashMap<>();
  private final Map<String, String> machineByTask = new HashMap<>();
  private final Map<String, Long> runMicrosByJob = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private int expiredLeases;

  private static String jobOf(String task) {
    return task.substring(0, task.indexOf('/'));
  }

  /** Records a submitted job and the duration of each of its tasks. */
  void recordSubmission(String uid, long runMicros) {
    runMicrosByJob.put(uid, runMicros);
  }

  /**
   * Records the start of a task on a machine.
   *
   * @return duration of the task; 0 if an earlier attempt has already stored the task's result
   */
  long recordStart(String task, String machine) {
    starts.merge(task, 1, Integer::sum);
    String other = machineByTask.put(task, machine);
    if (other != null) {
      reportViolation(task + " runs on " + other + " and " + machine);
    }
    if (!runMicrosByJob.containsKey(jobOf(task))) {
      reportViolation(task + " was started but its job was never submitted");
    }
    return completions.containsKey(task) ? 0 : runMicrosByJob.getOrDefault(jobOf(task), 0L);
  }

  void recordCompletion(String task) {
    completions.merge(task, 1, Integer::sum);
  }

  /** Records that the task is not on the machine any more. */
  void recordRemoval(String task, String machine) {
    machineByTask.remove(task, machine);
  }

  void recordLeaseExpiry() {
    expiredLeases++;
  }

  void reportViolation(String what) {
    violations.add(what);
  }

  List<String> violations() {
    return violations;
  }

  int expiredLeases() {
    return expiredLeases;
  }

  int completedTasks() {
    return completions.size();
  }

  /** Returns the number of tasks that were started more than once. */
  long restartedTasks() {
    return starts.values().stream().filter(count -> count > 1).count();
  }

  /** Returns the number of tasks that were completed more than once. */
  long duplicateResults() {
    return completions.values().stream().filter(count -> count > 1).count();
  }
}
