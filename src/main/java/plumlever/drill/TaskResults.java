package plumlever.drill;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What really happened to tasks, as seen at the workers: how often each was started and completed,
 * and whether two copies of one ran at a time.
 */
final class TaskResults {
  private final Map<String, Integer> starts = new HashMap<>();
  private final Map<String, Integer> completions = new HashMap<>();
  private final Map<String, String> machineOf = new HashMap<>();
  private final Map<String, Long> runMicrosByJob = new HashMap<>();
  private final List<String> broken = new ArrayList<>();
  private int lapsedLeases;

  private static String jobOf(String task) {
    return task.substring(0, task.indexOf('/'));
  }

  /** How long each task of the job takes. */
  void submitted(String uid, long runMicros) {
    runMicrosByJob.put(uid, runMicros);
  }

  /**
   * @return how long the task takes: nothing if it has completed before, for its result is kept
   */
  long started(String task, String machine) {
    starts.merge(task, 1, Integer::sum);
    String other = machineOf.put(task, machine);
    if (other != null) {
      broke(task + " runs on " + other + " and " + machine);
    }
    if (!runMicrosByJob.containsKey(jobOf(task))) {
      broke(task + " was never submitted");
    }
    return completions.containsKey(task) ? 0 : runMicrosByJob.getOrDefault(jobOf(task), 0L);
  }

  void completed(String task) {
    completions.merge(task, 1, Integer::sum);
  }

  /** The task is on the machine no more. */
  void taskLeft(String task, String machine) {
    machineOf.remove(task, machine);
  }

  void leaseLapsed() {
    lapsedLeases++;
  }

  void broke(String what) {
    broken.add(what);
  }

  List<String> broken() {
    return broken;
  }

  int lapsedLeases() {
    return lapsedLeases;
  }

  int completedTasks() {
    return completions.size();
  }

  /** Tasks that were started more than once. */
  long startedAnew() {
    return starts.values().stream().filter(count -> count > 1).count();
  }

  /** Tasks whose result was produced more than once. */
  long completedTwice() {
    return completions.values().stream().filter(count -> count > 1).count();
  }
}
