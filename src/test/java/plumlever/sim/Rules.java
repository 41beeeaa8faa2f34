package plumlever.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import plumlever.settings.Platform;
import plumlever.wire.JobSpec;

/**
 * The protocol's rules, checked on what really happens on the simulated machines and is told to
 * users.
 */
final class Rules {
  static final long CANCEL_MICROS = 40_000_000;
  static final long FORGOTTEN_MICROS = 75_000_000;
  static final long BEGIN_MICROS = 240_000_000;

  private final World world;
  private final Map<String, Platform.Team> teams = new HashMap<>();
  final Map<String, JobSpec> submitted = new HashMap<>();
  final Map<String, Long> submittedAt = new HashMap<>();
  private final Map<String, Long> answeredAt = new HashMap<>();
  private final Map<String, Long> beganAt = new HashMap<>();
  final Map<String, Long> abortedAt = new HashMap<>();
  final Map<String, String> lastTold = new HashMap<>();
  private final Map<String, Set<FakeWorker>> on = new HashMap<>();

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

  /** Final states by when a user was told them, at whatever node. */
  private final Map<String, Long> finalAt = new HashMap<>();

  private final Map<String, String> finalState = new HashMap<>();
  private final Set<String> acceptedSeen = new HashSet<>();

  /** Since when a job has waited although a machine that fits has room. */
  private final Map<String, Long> waitsSince = new HashMap<>();

  static final long WAITING_MICROS = 90_000_000;

  Rules(World world, List<Platform.Team> teams) {
    this.world = world;
    teams.forEach(t -> this.teams.put(t.name(), t));
  }

  private static String job(String task) {
    return task.substring(0, task.indexOf('/'));
  }

  private void broke(String rule, String what) {
    broken.add(rule + " at " + world.now() / 1e6 + ": " + what);
  }

  long runMicros(String task) {
    return (long) (submitted.get(job(task)).expectS() * 1e6);
  }

  boolean completed(String task) {
    return completed.contains(task);
  }

  void complete(String task) {
    completed.add(task);
    completedAt.merge(job(task), world.now(), Math::max);
    if (allDone(job(task))) {
      whenComplete.accept(job(task));
    }
  }

  void started(String task, FakeWorker w) {
    starts++;
    if (abortedAt.containsKey(job(task))) {
      startsAfterCancel++;
    }
    JobSpec j = submitted.get(job(task));
    beganAt.putIfAbsent(j.uid(), world.now());
    for (String name : j.waitsOn()) {
      if (!allDone(name)) {
        broke("too_early", task + " starts before " + name + " is done");
      }
    }
    Set<FakeWorker> at = on.computeIfAbsent(task, k -> new HashSet<>());
    if (!at.isEmpty()) {
      broke("ran_twice", task + " on " + w.vm.id + " and " + at.iterator().next().vm.id);
    }
    boolean joins = at.add(w);
    if (!j.allows(w.vm.flavor, w.vm.site, w.vm.spot)) {
      broke("wrong_place", task + " on " + w.vm.id);
    }
    int here = 0;
    for (int i = 0; i < j.pieces(); i++) {
      for (FakeWorker o : on.getOrDefault(j.uid() + "/" + i, Set.of())) {
        if (o.vm.site.equals(w.vm.site)) {
          here++;
        } else if (j.oneZone()) {
          broke("wrong_place", task + " in " + w.vm.site + " while another is in " + o.vm.site);
        }
      }
    }
    if (here > j.zoneLimit()) {
      broke("wrong_place", task + " is one too many in " + w.vm.site);
    }
    double used = held.merge(j.owner(), joins ? j.cores() : 0, Double::sum);
    double limit = teams.get(j.owner()).cpusMax();
    if (limit > 0 && used > limit + 1e-6) {
      broke("quota", j.owner() + " uses " + used);
    }
  }

  void left(String task, FakeWorker w) {
    Set<FakeWorker> at = on.get(task);
    if (at != null) {
      if (at.remove(w)) {
        JobSpec j = submitted.get(job(task));
        held.merge(j.owner(), -j.cores(), Double::sum);
      }
      if (at.isEmpty()) {
        on.remove(task);
      }
    }
  }

  void check() {
    for (Map.Entry<String, Long> a : abortedAt.entrySet()) {
      if (world.now() > a.getValue() + CANCEL_MICROS) {
        for (String t : on.keySet()) {
          if (job(t).equals(a.getKey())) {
            broke("ran_cancelled", t);
            return;
          }
        }
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
    answeredAt.put(uid, world.now());
  }

  /** Once all troubles are over, no accepted job's questions may go unanswered for long. */
  void checkForgotten() {
    if (world.calmSince == Long.MAX_VALUE) {
      return;
    }
    answeredAt.forEach(
        (uid, at) -> {
          if (world.now() - Math.max(at, world.calmSince) > FORGOTTEN_MICROS) {
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
    for (JobSpec j : submitted.values()) {
      if (answeredAt.containsKey(j.uid()) && !abortedAt.containsKey(j.uid())) {
        groups.computeIfAbsent("class " + j.jobclass(), k -> new ArrayList<>()).add(j);
        groups.computeIfAbsent("team " + j.owner(), k -> new ArrayList<>()).add(j);
      }
    }
    Map<String, List<JobSpec>> largest = new HashMap<>();
    groups.forEach(
        (name, all) -> {
          if (name.startsWith("class ")) {
            int most = all.stream().mapToInt(JobSpec::pieces).max().orElse(0);
            largest.put(
                "largest of " + name,
                all.stream().filter(j -> j.pieces() * 4 >= most * 3).toList());
          }
        });
    largest.forEach(
        (name, all) ->
            all.forEach(
                j -> {
                  long began = beganAt.getOrDefault(j.uid(), Long.MAX_VALUE / 2);
                  long from = waitsFrom(j);
                  if (began - from > BEGIN_MICROS && world.now() - from > BEGIN_MICROS) {
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
   * An answer that a user got from any node, also to questions asked at once at all of them: one to
   * a question that was asked after some user had been told an end, or that the job is accepted,
   * must not be older than that.
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
            ? calledOffBefore(uid, askedMicros)
            : null;
    if (cause != null) {
      broke(
          "orphaned",
          uid + " is called " + status + " after a user was told that " + cause + " is cancelled");
    }
    if ((status.equals("done") || status.equals("aborted")) && end == null) {
      finalState.put(uid, status);
      finalAt.put(uid, world.now());
    }
  }

  /**
   * A job before it, directly or through others, of which a user had been told by then that it is
   * cancelled; or null.
   */
  private String calledOffBefore(String uid, long askedMicros) {
    Set<String> seen = new HashSet<>();
    java.util.ArrayDeque<String> open = new java.util.ArrayDeque<>(List.of(uid));
    while (!open.isEmpty()) {
      JobSpec j = submitted.get(open.poll());
      for (String name : j == null ? List.<String>of() : j.waitsOn()) {
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
  private long waitsFrom(JobSpec j) {
    long from = submittedAt.getOrDefault(j.uid(), 0L);
    for (String name : j.waitsOn()) {
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
    if (world.calmSince == Long.MAX_VALUE) {
      return;
    }
    for (JobSpec j : submitted.values()) {
      boolean waits =
          j != null
              && acceptedSeen.contains(j.uid())
              && !finalState.containsKey(j.uid())
              && !abortedAt.containsKey(j.uid())
              && !allDone(j.uid())
              && waitsFrom(j) <= world.now()
              && nothingOn(j)
              && teamHasRoom(j)
              && machineHasRoom(j);
      if (!waits) {
        waitsSince.remove(j == null ? "" : j.uid());
      } else if (world.now() - waitsSince.computeIfAbsent(j.uid(), k -> world.now())
          > WAITING_MICROS) {
        broke("waiting", j.uid() + " waits although there is room");
        waitsSince.remove(j.uid());
      }
    }
  }

  private boolean nothingOn(JobSpec j) {
    for (int i = 0; i < j.pieces(); i++) {
      if (on.containsKey(j.uid() + "/" + i)) {
        return false;
      }
    }
    return true;
  }

  private boolean teamHasRoom(JobSpec j) {
    double limit = teams.get(j.owner()).cpusMax();
    return limit <= 0 || held.getOrDefault(j.owner(), 0.0) + j.cores() <= limit + 1e-6;
  }

  private boolean machineHasRoom(JobSpec j) {
    for (FakeCloud.Vm v : world.cloud.machines.values()) {
      if (v.worker == null || !j.allows(v.flavor, v.site, v.spot)) {
        continue;
      }
      double cores = FakeCloud.coresOf(v.flavor);
      for (FakeWorker.Task t : v.worker.tasks.values()) {
        cores -= t.status.equals("ended") ? 0 : submitted.get(job(t.name)).cores();
      }
      if (cores + 1e-6 >= j.cores()) {
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
      abortedAt.putIfAbsent(uid, world.now());
    }
    lastTold.put(uid, status);
  }

  boolean allDone(String uid) {
    for (int i = 0; i < submitted.get(uid).pieces(); i++) {
      if (!completed.contains(uid + "/" + i)) {
        return false;
      }
    }
    return true;
  }
}
