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
 * The protocol's rules, checked on what really happens on the simulated machines and is told to
 * users.
 */
final class InvariantChecker {
  static final long CANCEL_MICROS = 40_000_000;
  static final long FORGOTTEN_MICROS = 75_000_000;
  static final long BEGIN_MICROS = 240_000_000;

  private final SimulatedCluster cluster;
  private final Map<String, PlatformConfiguration.Team> teams = new HashMap<>();
  final Map<String, JobSpec> submitted = new HashMap<>();
  final Map<String, Long> submittedAt = new HashMap<>();
  private final Map<String, Long> answeredAt = new HashMap<>();
  private final Map<String, Long> beganAt = new HashMap<>();
  final Map<String, Long> cancelledAt = new HashMap<>();
  final Map<String, String> lastTold = new HashMap<>();
  private final Map<String, Set<FakeWorker>> on = new HashMap<>();

  /** How many tasks of each job are on machines, a task on two machines counted twice. */
  private final Map<String, Integer> onByJob = new HashMap<>();

  /** Jobs called cancelled to their users that have tasks on machines. */
  private final Set<String> cancelledOn = new HashSet<>();

  /** Cores that each team's tasks use now. */
  private final Map<String, Double> held = new HashMap<>();

  private final Set<String> completed = new HashSet<>();
  final List<String> broken = new ArrayList<>();
  int starts;

  /**
   * Starts after the cancellation was confirmed; each is gone again within the time for
   * cancellations.
   */
  int startsAfterCancel;

  /** Told the moment a job's last task completes. */
  java.util.function.Consumer<String> whenComplete = uid -> {};

  private final Map<String, Long> completedAt = new HashMap<>();

  /** Final states by when a user was told them, at whatever controller. */
  private final Map<String, Long> finalAt = new HashMap<>();

  private final Map<String, String> finalState = new HashMap<>();
  private final Set<String> acceptedSeen = new HashSet<>();

  /** Since when a job has waited although a machine that fits has room. */
  private final Map<String, Long> waitsSince = new HashMap<>();

  static final long WAITING_MICROS = 90_000_000;

  InvariantChecker(SimulatedCluster cluster, List<PlatformConfiguration.Team> teams) {
    this.cluster = cluster;
    teams.forEach(t -> this.teams.put(t.name(), t));
  }

  private static String job(String task) {
    return task.substring(0, task.indexOf('/'));
  }

  private void broke(String rule, String what) {
    broken.add(rule + " at " + cluster.now() / 1e6 + ": " + what);
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
      whenComplete.accept(job(task));
    }
  }

  /** A machine carries out the command to start the task, whether or not it has its image yet. */
  void commandedToStart(String task, FakeWorker worker) {
    Long cancelled = cancelledAt.get(job(task));
    if (cancelled != null && cluster.now() > cancelled + CANCEL_MICROS) {
      broke(
          "ran_cancelled",
          task
              + " is started on "
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
    JobSpec otherJob = submitted.get(job(task));
    beganAt.putIfAbsent(otherJob.uid(), cluster.now());
    for (String name : otherJob.dependencies()) {
      if (!allDone(name)) {
        broke("too_early", task + " starts before " + name + " is done");
      }
    }
    Set<FakeWorker> at = on.computeIfAbsent(task, k -> new HashSet<>());
    if (!at.isEmpty()) {
      broke("ran_twice", task + " on " + worker.vm.id + " and " + at.iterator().next().vm.id);
    }
    boolean joins = at.add(worker);
    if (joins) {
      onByJob.merge(otherJob.uid(), 1, Integer::sum);
      noteCancelledOn(otherJob.uid());
    }
    if (!otherJob.allows(worker.vm.machineType, worker.vm.zone, worker.vm.spot)) {
      broke("wrong_place", task + " on " + worker.vm.id);
    }
    int here = 0;
    for (int i = 0; i < otherJob.taskCount(); i++) {
      for (FakeWorker other : on.getOrDefault(otherJob.uid() + "/" + i, Set.of())) {
        if (other.vm.zone.equals(worker.vm.zone)) {
          here++;
        } else if (otherJob.oneZone()) {
          broke(
              "wrong_place",
              task + " in " + worker.vm.zone + " while another is in " + other.vm.zone);
        }
      }
    }
    if (here > otherJob.maxTasksPerZone()) {
      broke("wrong_place", task + " is one too many in " + worker.vm.zone);
    }
    double used = held.merge(otherJob.team(), joins ? otherJob.cores() : 0, Double::sum);
    double limit = teams.get(otherJob.team()).maxCores();
    if (limit > 0 && used > limit + 1e-6) {
      broke("quota", otherJob.team() + " uses " + used);
    }
  }

  void taskLeft(String task, FakeWorker worker) {
    Set<FakeWorker> at = on.get(task);
    if (at != null) {
      if (at.remove(worker)) {
        JobSpec otherJob = submitted.get(job(task));
        onByJob.merge(otherJob.uid(), -1, Integer::sum);
        noteCancelledOn(otherJob.uid());
        held.merge(otherJob.team(), -otherJob.cores(), Double::sum);
      }
      if (at.isEmpty()) {
        on.remove(task);
      }
    }
  }

  private void noteCancelledOn(String uid) {
    if (cancelledAt.containsKey(uid) && onByJob.getOrDefault(uid, 0) > 0) {
      cancelledOn.add(uid);
    } else {
      cancelledOn.remove(uid);
    }
  }

  void check() {
    for (String uid : cancelledOn) {
      if (cluster.now() > cancelledAt.get(uid) + CANCEL_MICROS) {
        broke("ran_cancelled", uid + " with " + onByJob.get(uid) + " tasks on machines");
        return;
      }
    }
  }

  double coresOf(String team) {
    return held.getOrDefault(team, 0.0);
  }

  boolean began(String uid) {
    return beganAt.containsKey(uid);
  }

  /** A question about a job was answered. */
  void answered(String uid) {
    answeredAt.put(uid, cluster.now());
  }

  /** Once all troubles are over, no accepted job's questions may go unanswered for long. */
  void checkForgotten() {
    if (cluster.calmSince == Long.MAX_VALUE) {
      return;
    }
    answeredAt.forEach(
        (uid, at) -> {
          if (cluster.now() - Math.max(at, cluster.calmSince) > FORGOTTEN_MICROS) {
            broke("forgotten", uid + " got no answer since " + at / 1e6);
          }
        });
  }

  /**
   * Of each class, each team and the largest jobs of each class, at least half must be served; the
   * largest begin in time.
   */
  void checkServed() {
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
            int most = all.stream().mapToInt(JobSpec::taskCount).max().orElse(0);
            largest.put(
                "largest of " + name,
                all.stream().filter(j -> j.taskCount() * 4 >= most * 3).toList());
          }
        });
    largest.forEach(
        (name, all) ->
            all.forEach(
                j -> {
                  long began = beganAt.getOrDefault(j.uid(), Long.MAX_VALUE / 2);
                  long from = waitsFrom(j);
                  if (began - from > BEGIN_MICROS && cluster.now() - from > BEGIN_MICROS) {
                    broke(
                        "half",
                        j.uid()
                            + ", one of the "
                            + name
                            + ", began after "
                            + (began - from) / 1e6
                            + " s");
                  }
                }));
    groups.putAll(largest);
    groups.forEach(
        (name, all) -> {
          long served = all.stream().filter(j -> "done".equals(lastTold.get(j.uid()))).count();
          if (served * 2 < all.size()) {
            broke("half", "of " + name + " only " + served + " of " + all.size() + " are served");
          }
        });
  }

  /**
   * An answer that a user got from any controller, also to questions asked at once at all of them:
   * one to a question that was asked after some user had been told an end, or that the job is
   * accepted, must not be older than that.
   *
   * @param status null for a 404
   */
  void toldAnywhere(String uid, String status, long askedMicros) {
    String end = finalState.get(uid);
    if (end != null && askedMicros >= finalAt.get(uid) && !end.equals(status)) {
      broke("went_back", uid + " was told " + end + " and then " + status);
    }
    if (status == null) {
      if (acceptedSeen.contains(uid)) {
        broke("forgotten", uid + " is unknown after it was accepted");
      }
      return;
    }
    acceptedSeen.add(uid);
    String cause =
        status.equals("pending") || status.equals("running")
            ? cancelledBefore(uid, askedMicros)
            : null;
    if (cause != null) {
      broke(
          "orphaned",
          uid + " is called " + status + " after a user was told that " + cause + " is cancelled");
    }
    if ((status.equals("done") || status.equals("aborted")) && end == null) {
      finalState.put(uid, status);
      finalAt.put(uid, cluster.now());
    }
  }

  /**
   * A job before it, directly or through others, of which a user had been told by then that it is
   * cancelled; or null.
   */
  private String cancelledBefore(String uid, long askedMicros) {
    Set<String> seen = new HashSet<>();
    java.util.ArrayDeque<String> open = new java.util.ArrayDeque<>(List.of(uid));
    while (!open.isEmpty()) {
      JobSpec job = submitted.get(open.poll());
      for (String name : job == null ? List.<String>of() : job.dependencies()) {
        if ("aborted".equals(finalState.get(name)) && finalAt.get(name) <= askedMicros) {
          return name;
        }
        if (seen.add(name)) {
          open.add(name);
        }
      }
    }
    return null;
  }

  /** From when waiting counts: submitted, and all that it waits on done. */
  private long waitsFrom(JobSpec job) {
    long from = submittedAt.getOrDefault(job.uid(), 0L);
    for (String name : job.dependencies()) {
      from =
          Math.max(from, allDone(name) ? completedAt.getOrDefault(name, 0L) : Long.MAX_VALUE / 2);
    }
    return from;
  }

  /**
   * Once all troubles are over no job may wait for long while a machine that fits has room and its
   * team may use it.
   */
  void checkWaiting() {
    if (cluster.calmSince == Long.MAX_VALUE) {
      return;
    }
    for (JobSpec job : submitted.values()) {
      boolean waits =
          job != null
              && acceptedSeen.contains(job.uid())
              && !finalState.containsKey(job.uid())
              && !cancelledAt.containsKey(job.uid())
              && !allDone(job.uid())
              && waitsFrom(job) <= cluster.now()
              && nothingOn(job)
              && teamHasRoom(job)
              && machineHasRoom(job);
      if (!waits) {
        waitsSince.remove(job == null ? "" : job.uid());
      } else if (cluster.now() - waitsSince.computeIfAbsent(job.uid(), k -> cluster.now())
          > WAITING_MICROS) {
        broke("waiting", job.uid() + " waits although there is room");
        waitsSince.remove(job.uid());
      }
    }
  }

  private boolean nothingOn(JobSpec job) {
    for (int i = 0; i < job.taskCount(); i++) {
      if (on.containsKey(job.uid() + "/" + i)) {
        return false;
      }
    }
    return true;
  }

  private boolean teamHasRoom(JobSpec job) {
    double limit = teams.get(job.team()).maxCores();
    return limit <= 0 || held.getOrDefault(job.team(), 0.0) + job.cores() <= limit + 1e-6;
  }

  private boolean machineHasRoom(JobSpec otherJob) {
    for (FakeCloud.Vm vm : cluster.cloud.machines.values()) {
      if (vm.worker == null || !otherJob.allows(vm.machineType, vm.zone, vm.spot)) {
        continue;
      }
      double cores = FakeCloud.coresOf(vm.machineType);
      for (FakeWorker.Task task : vm.worker.tasks.values()) {
        cores -= task.status.equals("ended") ? 0 : submitted.get(job(task.name)).cores();
      }
      if (cores + 1e-6 >= otherJob.cores()) {
        return true;
      }
    }
    return false;
  }

  /** A user was told something of a job. */
  void told(String uid, String status, boolean userCancelled) {
    String before = lastTold.get(uid);
    if (status.equals("done") && !allDone(uid)) {
      broke("not_done", uid);
    }
    if (status.equals("aborted") && !userCancelled) {
      broke("went_back", uid + " was never cancelled");
    }
    if (before != null
        && (before.equals("done") || before.equals("aborted"))
        && !before.equals(status)) {
      broke("went_back", uid + " from " + before + " to " + status);
    }
    if (status.equals("aborted")) {
      cancelledAt.putIfAbsent(uid, cluster.now());
      noteCancelledOn(uid);
    }
    lastTold.put(uid, status);
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
