package plumlever.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;

/**
 * Checks the protocol's rules against the events on the simulated machines and the responses to
 * users. Each violation is recorded under the name of the violated rule.
 */
final class InvariantChecker {
  /** Time within which the tasks of a job must end, counted from the confirmed cancellation. */
  static final long CANCEL_MICROS = 40_000_000;

  /** Longest allowed time without an answered query about a job after all faults have ended. */
  static final long ANSWER_MICROS = 75_000_000;

  /**
   * Time within which the largest jobs of a job class must start. The time counts from the
   * submission of the job or from the end of its last dependency, whichever is later.
   */
  static final long START_MICROS = 240_000_000;

  private final SimulatedCluster cluster;
  private final Map<String, PlatformConfiguration.Team> teams = new HashMap<>();
  final Map<String, JobSpec> submitted = new HashMap<>();
  final Map<String, Long> submittedAt = new HashMap<>();
  private final Map<String, Long> answeredAt = new HashMap<>();
  private final Map<String, Long> startedAt = new HashMap<>();
  final Map<String, Long> cancelledAt = new HashMap<>();
  final Map<String, String> lastReportedStatus = new HashMap<>();
  private final Map<String, Set<FakeWorker>> workersByTask = new HashMap<>();

  /** Number of tasks of each job on machines; a task on two machines counts twice. */
  private final Map<String, Integer> activeTasksByJob = new HashMap<>();

  /** Jobs with a confirmed cancellation that still have tasks on machines. */
  private final Set<String> cancelledWithActiveTasks = new HashSet<>();

  /** Cores that each team's tasks use now. */
  private final Map<String, Double> coresByTeam = new HashMap<>();

  private final Set<String> completed = new HashSet<>();
  final List<String> violations = new ArrayList<>();
  int starts;

  /**
   * Number of tasks that started after the cancellation of their job was confirmed. The protocol
   * allows such starts if the tasks end within {@link #CANCEL_MICROS} of the confirmation.
   */
  int startsAfterCancel;

  /** Receives the id of each job when the job's last task completes. */
  java.util.function.Consumer<String> completionListener = uid -> {};

  private final Map<String, Long> completedAt = new HashMap<>();

  /**
   * By job, the simulated time in microseconds at which a controller first reported the job's final
   * state to a user.
   */
  private final Map<String, Long> finalStateAt = new HashMap<>();

  private final Map<String, String> finalState = new HashMap<>();
  private final Set<String> acceptedJobs = new HashSet<>();

  /**
   * By job, the simulated time in microseconds at which a check first found the job waiting
   * although a suitable machine had free capacity.
   */
  private final Map<String, Long> waitingSince = new HashMap<>();

  /** Longest time that a job may wait while a suitable machine has free capacity. */
  static final long WAITING_MICROS = 90_000_000;

  InvariantChecker(SimulatedCluster cluster, List<PlatformConfiguration.Team> teams) {
    this.cluster = cluster;
    teams.forEach(t -> this.teams.put(t.name(), t));
  }

  private static String job(String task) {
    return task.substring(0, task.indexOf('/'));
  }

  private void addViolation(String rule, String details) {
    violations.add(rule + " at " + cluster.now() / 1e6 + ": " + details);
  }

  long runMicros(String task) {
    return (long) (submitted.get(job(task)).expectedRunS() * 1e6);
  }

  boolean completed(String task) {
    return completed.contains(task);
  }

  void complete(String task) {
    completed.add(task);
    completedAt.merge(job(task), cluster.now(), Math::max);
    if (allDone(job(task))) {
      completionListener.accept(job(task));
    }
  }

  /**
   * Called when a machine executes a start command, before it fetches the image; records a
   * violation if the job's cancellation was confirmed more than {@link #CANCEL_MICROS} ago.
   */
  void commandedToStart(String task, FakeWorker worker) {
    Long cancelled = cancelledAt.get(job(task));
    if (cancelled != null && cluster.now() > cancelled + CANCEL_MICROS) {
      addViolation(
          "ran_cancelled",
          task
              + " was commanded to start on "
              + worker.vm.id
              + " "
              + (cluster.now() - cancelled) / 1e6
              + " s after its cancellation was confirmed");
    }
  }

  void started(String task, FakeWorker worker) {
    starts++;
    if (cancelledAt.containsKey(job(task))) {
      startsAfterCancel++;
    }
    JobSpec job = submitted.get(job(task));
    startedAt.putIfAbsent(job.uid(), cluster.now());
    for (String name : job.dependencies()) {
      if (!allDone(name)) {
        addViolation("too_early", task + " starts before its dependency " + name + " is done");
      }
    }
    Set<FakeWorker> workers = workersByTask.computeIfAbsent(task, k -> new HashSet<>());
    if (!workers.isEmpty()) {
      addViolation(
          "ran_twice", task + " on " + worker.vm.id + " and " + workers.iterator().next().vm.id);
    }
    boolean added = workers.add(worker);
    if (added) {
      activeTasksByJob.merge(job.uid(), 1, Integer::sum);
      updateCancelledWithActiveTasks(job.uid());
    }
    if (!job.allows(worker.vm.machineType, worker.vm.zone, worker.vm.spot)) {
      addViolation("wrong_place", task + " on a machine that its job excludes: " + worker.vm.id);
    }
    int tasksInZone = 0;
    for (int i = 0; i < job.taskCount(); i++) {
      for (FakeWorker other : workersByTask.getOrDefault(job.uid() + "/" + i, Set.of())) {
        if (other.vm.zone.equals(worker.vm.zone)) {
          tasksInZone++;
        } else if (job.oneZone()) {
          addViolation(
              "wrong_place",
              task
                  + " of a one-zone job in "
                  + worker.vm.zone
                  + ", another task in "
                  + other.vm.zone);
        }
      }
    }
    if (tasksInZone > job.maxTasksPerZone()) {
      addViolation(
          "wrong_place", task + " exceeds the tasks per zone of its job in " + worker.vm.zone);
    }
    double used = coresByTeam.merge(job.team(), added ? job.cores() : 0, Double::sum);
    double limit = teams.get(job.team()).maxCores();
    if (limit > 0 && used > limit + 1e-6) {
      addViolation("quota", job.team() + " exceeds its limit, cores used: " + used);
    }
  }

  void taskEnded(String task, FakeWorker worker) {
    Set<FakeWorker> workers = workersByTask.get(task);
    if (workers != null) {
      if (workers.remove(worker)) {
        JobSpec job = submitted.get(job(task));
        activeTasksByJob.merge(job.uid(), -1, Integer::sum);
        updateCancelledWithActiveTasks(job.uid());
        coresByTeam.merge(job.team(), -job.cores(), Double::sum);
      }
      if (workers.isEmpty()) {
        workersByTask.remove(task);
      }
    }
  }

  private void updateCancelledWithActiveTasks(String uid) {
    if (cancelledAt.containsKey(uid) && activeTasksByJob.getOrDefault(uid, 0) > 0) {
      cancelledWithActiveTasks.add(uid);
    } else {
      cancelledWithActiveTasks.remove(uid);
    }
  }

  void check() {
    for (String uid : cancelledWithActiveTasks) {
      if (cluster.now() > cancelledAt.get(uid) + CANCEL_MICROS) {
        addViolation(
            "ran_cancelled",
            uid + " still has " + activeTasksByJob.get(uid) + " tasks on machines");
        return;
      }
    }
  }

  double coresOf(String team) {
    return coresByTeam.getOrDefault(team, 0.0);
  }

  boolean hasStarted(String uid) {
    return startedAt.containsKey(uid);
  }

  /** Records that a query about the job was answered. */
  void recordResponse(String uid) {
    answeredAt.put(uid, cluster.now());
  }

  /** Checks that queries about accepted jobs are answered in time after all faults have ended. */
  void checkAnswered() {
    if (cluster.faultsEndedAtMicros == Long.MAX_VALUE) {
      return;
    }
    answeredAt.forEach(
        (uid, at) -> {
          if (cluster.now() - Math.max(at, cluster.faultsEndedAtMicros) > ANSWER_MICROS) {
            addViolation("forgotten", uid + " has had no answered query since " + at / 1e6);
          }
        });
  }

  /**
   * Checks that at least half of the jobs of each job class and of each team are done, and half of
   * the largest jobs of each class. Also checks that the largest jobs started within {@link
   * #START_MICROS}. Cancelled jobs do not count.
   */
  void checkJobsServed() {
    Map<String, List<JobSpec>> groups = new HashMap<>();
    for (JobSpec job : submitted.values()) {
      if (answeredAt.containsKey(job.uid()) && !cancelledAt.containsKey(job.uid())) {
        groups.computeIfAbsent("class " + job.jobClass(), k -> new ArrayList<>()).add(job);
        groups.computeIfAbsent("team " + job.team(), k -> new ArrayList<>()).add(job);
      }
    }
    Map<String, List<JobSpec>> largest = new HashMap<>();
    groups.forEach(
        (name, all) -> {
          if (name.startsWith("class ")) {
            int maxTasks = all.stream().mapToInt(JobSpec::taskCount).max().orElse(0);
            largest.put(
                "largest of " + name,
                all.stream().filter(j -> j.taskCount() * 4 >= maxTasks * 3).toList());
          }
        });
    largest.forEach(
        (name, all) ->
            all.forEach(
                j -> {
                  long startMicros = startedAt.getOrDefault(j.uid(), Long.MAX_VALUE / 2);
                  long from = readyMicros(j);
                  if (startMicros - from > START_MICROS && cluster.now() - from > START_MICROS) {
                    addViolation(
                        "half",
                        j.uid()
                            + ", of the "
                            + name
                            + ", started after "
                            + (startMicros - from) / 1e6
                            + " s");
                  }
                }));
    groups.putAll(largest);
    groups.forEach(
        (name, all) -> {
          long served =
              all.stream().filter(j -> "done".equals(lastReportedStatus.get(j.uid()))).count();
          if (served * 2 < all.size()) {
            addViolation(
                "half", "of " + name + " only " + served + " of " + all.size() + " jobs are done");
          }
        });
  }

  /**
   * Checks the job status that a user got from any controller. The status must not be older than
   * what any user knew when the query was sent: a final state must not change, and an accepted job
   * must not be unknown. The check includes queries sent to all controllers at the same time.
   *
   * @param status the reported job status, or null for a 404
   */
  void checkResponse(String uid, String status, long sentMicros) {
    String end = finalState.get(uid);
    if (end != null && sentMicros >= finalStateAt.get(uid) && !end.equals(status)) {
      addViolation("went_back", uid + " was reported " + end + " and then " + status);
    }
    if (status == null) {
      if (acceptedJobs.contains(uid)) {
        addViolation("forgotten", uid + " got a 404 after it was accepted");
      }
      return;
    }
    acceptedJobs.add(uid);
    String cause =
        status.equals("pending") || status.equals("running")
            ? dependencyCancelledBefore(uid, sentMicros)
            : null;
    if (cause != null) {
      addViolation(
          "orphaned",
          uid
              + " is reported "
              + status
              + " after its dependency "
              + cause
              + " was reported cancelled");
    }
    if ((status.equals("done") || status.equals("aborted")) && end == null) {
      finalState.put(uid, status);
      finalStateAt.put(uid, cluster.now());
    }
  }

  /**
   * Returns a direct or transitive dependency of the job that had been reported cancelled to a user
   * by the given time, or null.
   */
  private String dependencyCancelledBefore(String uid, long sentMicros) {
    Set<String> seen = new HashSet<>();
    java.util.ArrayDeque<String> open = new java.util.ArrayDeque<>(List.of(uid));
    while (!open.isEmpty()) {
      JobSpec job = submitted.get(open.poll());
      for (String name : job == null ? List.<String>of() : job.dependencies()) {
        if ("aborted".equals(finalState.get(name)) && finalStateAt.get(name) <= sentMicros) {
          return name;
        }
        if (seen.add(name)) {
          open.add(name);
        }
      }
    }
    return null;
  }

  /**
   * Returns the simulated time in microseconds at which the job could start: when it was submitted
   * or when its last dependency was done, whichever is later. Returns a far future time if a
   * dependency is not done.
   */
  private long readyMicros(JobSpec job) {
    long from = submittedAt.getOrDefault(job.uid(), 0L);
    for (String name : job.dependencies()) {
      from =
          Math.max(from, allDone(name) ? completedAt.getOrDefault(name, 0L) : Long.MAX_VALUE / 2);
    }
    return from;
  }

  /**
   * Checks that, after all faults have ended, no job waits for long while a suitable machine has
   * free capacity and the job's team is below its limit.
   */
  void checkWaiting() {
    if (cluster.faultsEndedAtMicros == Long.MAX_VALUE) {
      return;
    }
    for (JobSpec job : submitted.values()) {
      boolean waits =
          job != null
              && acceptedJobs.contains(job.uid())
              && !finalState.containsKey(job.uid())
              && !cancelledAt.containsKey(job.uid())
              && !allDone(job.uid())
              && readyMicros(job) <= cluster.now()
              && hasNoActiveTask(job)
              && teamHasCapacity(job)
              && machineHasCapacity(job);
      if (!waits) {
        waitingSince.remove(job == null ? "" : job.uid());
      } else if (cluster.now() - waitingSince.computeIfAbsent(job.uid(), k -> cluster.now())
          > WAITING_MICROS) {
        addViolation("waiting", job.uid() + " waits although a suitable machine has free capacity");
        waitingSince.remove(job.uid());
      }
    }
  }

  private boolean hasNoActiveTask(JobSpec job) {
    for (int i = 0; i < job.taskCount(); i++) {
      if (workersByTask.containsKey(job.uid() + "/" + i)) {
        return false;
      }
    }
    return true;
  }

  private boolean teamHasCapacity(JobSpec job) {
    double limit = teams.get(job.team()).maxCores();
    return limit <= 0 || coresByTeam.getOrDefault(job.team(), 0.0) + job.cores() <= limit + 1e-6;
  }

  private boolean machineHasCapacity(JobSpec job) {
    for (FakeCloud.Vm vm : cluster.cloud.machines.values()) {
      if (vm.worker == null || !job.allows(vm.machineType, vm.zone, vm.spot)) {
        continue;
      }
      double cores = FakeCloud.coresOf(vm.machineType);
      for (FakeWorker.Task task : vm.worker.tasks.values()) {
        cores -= task.status.equals("ended") ? 0 : submitted.get(job(task.name)).cores();
      }
      if (cores + 1e-6 >= job.cores()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Records a job status that a user received, and a violation if the status contradicts the
   * completed tasks, the cancellations or an earlier final status.
   */
  void recordStatus(String uid, String status, boolean userCancelled) {
    String before = lastReportedStatus.get(uid);
    if (status.equals("done") && !allDone(uid)) {
      addViolation("not_done", uid);
    }
    if (status.equals("aborted") && !userCancelled) {
      addViolation("went_back", uid + " was reported cancelled without a cancellation");
    }
    if (before != null
        && (before.equals("done") || before.equals("aborted"))
        && !before.equals(status)) {
      addViolation("went_back", uid + " changed from " + before + " to " + status);
    }
    if (status.equals("aborted")) {
      cancelledAt.putIfAbsent(uid, cluster.now());
      updateCancelledWithActiveTasks(uid);
    }
    lastReportedStatus.put(uid, status);
  }

  boolean allDone(String uid) {
    for (int i = 0; i < submitted.get(uid).taskCount(); i++) {
      if (!completed.contains(uid + "/" + i)) {
        return false;
      }
    }
    return true;
  }
}
