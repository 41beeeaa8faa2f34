package plumlever.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import plumlever.wire.JobState;
import plumlever.wire.Priority;

/**
 * The dependency chains beside a slow plain model that works everything out anew from the records
 * each time.
 */
final class DependencyGraphTest {
  /** The records, as they are. */
  private static final class Model {
    final Map<String, List<String>> needs = new HashMap<>();
    final Map<String, JobState> ended = new HashMap<>();
    final Map<String, DependencyGraph.EffectiveGoal> own = new HashMap<>();
    final Map<String, Long> cost = new HashMap<>();

    boolean cancelled(String uid) {
      return ended.get(uid) == JobState.CANCELLED
          || (ended.get(uid) == null && needs.get(uid).stream().anyMatch(this::cancelled));
    }

    boolean released(String uid) {
      return needs.get(uid).stream().allMatch(n -> ended.get(n) == JobState.DONE);
    }

    DependencyGraph.State state(String uid) {
      return ended.get(uid) == JobState.DONE
          ? DependencyGraph.State.DONE
          : cancelled(uid)
              ? DependencyGraph.State.CANCELLED
              : released(uid) ? DependencyGraph.State.RELEASED : DependencyGraph.State.WAITING;
    }

    /** By when it has to be done, for the sake of itself and all that need it. */
    long by(String uid) {
      long by = own.get(uid).latestEndMicros();
      for (String after : needs.keySet()) {
        if (needs.get(after).contains(uid) && ended.get(after) == null && !cancelled(after)) {
          long theirs = by(after);
          by = Math.min(by, theirs == Long.MAX_VALUE ? theirs : theirs - cost.get(after));
        }
      }
      return by;
    }

    Priority priority(String uid) {
      Priority otherPriority = own.get(uid).priority();
      for (String after : needs.keySet()) {
        if (needs.get(after).contains(uid) && ended.get(after) == null && !cancelled(after)) {
          Priority theirs = priority(after);
          otherPriority = theirs.compareTo(otherPriority) < 0 ? theirs : otherPriority;
        }
      }
      return otherPriority;
    }
  }

  static LongStream seeds() {
    return LongStream.range(0, 150);
  }

  /**
   * Jobs come, end and are cancelled in any order, and their records are told of late and twice.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void agreesWithThePlainModel(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Model model = new Model();
    DependencyGraph dependencies = new DependencyGraph();
    List<String> all = new ArrayList<>();
    Set<String> released = new HashSet<>();
    Set<String> cancelled = new HashSet<>();
    for (int step = 0; step < 60; step++) {
      if (all.size() < 14 && random.nextInt(3) > 0) {
        accept(random, model, dependencies, all);
      } else if (!all.isEmpty()) {
        String uid = all.get(random.nextInt(all.size()));
        if (model.ended.get(uid) == null) {
          boolean done = model.released(uid) && !model.cancelled(uid) && random.nextInt(3) > 0;
          if (done || random.nextInt(4) == 0) {
            model.ended.put(uid, done ? JobState.DONE : JobState.CANCELLED);
            dependencies.recordEnd(uid, model.ended.get(uid), step);
          }
        } else {
          dependencies.recordEnd(uid, model.ended.get(uid), step);
        }
      }
      if (random.nextInt(5) == 0) {
        for (String uid : all) {
          model.cost.put(uid, 1 + random.nextLong(30));
        }
        dependencies.updateDurations(model.cost::get);
      }
      dependencies.propagateGoals(uid -> {});
      released.addAll(dependencies.drainReleased());
      cancelled.addAll(dependencies.drainCancelled());
      check(model, dependencies, all, released, cancelled);
    }
    assertTrue(!released.isEmpty() && all.size() > 5);
  }

  private static void accept(
      SplittableRandom random, Model model, DependencyGraph dependencies, List<String> all) {
    String uid = "job-" + all.size();
    List<String> needs = new ArrayList<>();
    for (String before : all) {
      if (random.nextInt(4) == 0) {
        needs.add(before);
      }
    }
    all.add(uid);
    model.needs.put(uid, needs);
    model.cost.put(uid, 1 + random.nextLong(30));
    model.own.put(
        uid,
        new DependencyGraph.EffectiveGoal(
            all.size(),
            random.nextInt(3) == 0 ? 100 + random.nextLong(200) : Long.MAX_VALUE,
            "c",
            0,
            Priority.values()[random.nextInt(4)]));
    List<String> unknown = dependencies.addJob(uid, 1 + all.size(), needs);
    for (String name : unknown) {
      JobState how = model.ended.get(name);
      assertTrue(how != null, name + " has ended, or it would be known");
      dependencies.recordEnd(name, how, 0);
    }
    dependencies.setGoal(uid, model.own.get(uid), model.cost.get(uid));
    // Told again, it changes nothing.
    dependencies.addJob(uid, 1 + all.size(), List.of());
  }

  private static void check(
      Model model,
      DependencyGraph dependencies,
      List<String> all,
      Set<String> released,
      Set<String> cancelled) {
    for (String uid : all) {
      DependencyGraph.State now = model.state(uid);
      if (model.ended.get(uid) != null) {
        assertEquals(
            DependencyGraph.State.UNKNOWN,
            dependencies.stateOf(uid),
            uid + " has ended and is forgotten");
        continue;
      }
      assertEquals(now, dependencies.stateOf(uid), uid);
      assertEquals(
          now == DependencyGraph.State.RELEASED,
          released.contains(uid) && !cancelled.contains(uid),
          uid + " was told to be released");
      assertEquals(
          now == DependencyGraph.State.CANCELLED,
          cancelled.contains(uid),
          uid + " was told to be aborted");
      if (now != DependencyGraph.State.CANCELLED) {
        assertEquals(
            model.by(uid),
            dependencies.effectiveGoal(uid).latestEndMicros(),
            uid + " has its deadline");
        assertEquals(
            model.priority(uid),
            dependencies.effectiveGoal(uid).priority(),
            uid + " has its urgency");
      }
    }
  }

  private static DependencyGraph.EffectiveGoal aim(long due, Priority priority) {
    return new DependencyGraph.EffectiveGoal(0, due, "c", 0, priority);
  }

  /**
   * Ten thousand in a row, and ten thousand on one: no recursion, and a word costs what it changes.
   */
  @Test
  void longAndWideChainsCostNoRecursion() {
    DependencyGraph dependencies = new DependencyGraph();
    int count = 10_000;
    for (int i = 0; i < count; i++) {
      dependencies.addJob("job-" + i, i + 1, i == 0 ? List.of() : List.of("job-" + (i - 1)));
      dependencies.setGoal(
          "job-" + i,
          aim(
              i == count - 1 ? 1_000_000 : Long.MAX_VALUE,
              i == count - 1 ? Priority.PROD : Priority.IDLE),
          10);
    }
    int[] changed = new int[1];
    dependencies.propagateGoals(uid -> changed[0]++);
    assertEquals(count, changed[0], "each once");
    assertEquals(
        1_000_000 - 10L * (count - 1), dependencies.effectiveGoal("job-0").latestEndMicros());
    assertEquals(Priority.PROD, dependencies.effectiveGoal("job-0").priority());
    dependencies.propagateGoals(uid -> changed[0]++);
    assertEquals(count, changed[0], "nothing changed, nothing is done");
    dependencies.drainReleased();
    dependencies.recordEnd("job-0", JobState.CANCELLED, 0);
    assertEquals(count, dependencies.drainCancelled().size());
    assertEquals("job-0", dependencies.failedDependencyOf("job-" + (count - 1)));

    DependencyGraph wide = new DependencyGraph();
    wide.addJob("job-0", 1, List.of());
    List<String> middle = IntStream.rangeClosed(1, count).mapToObj(i -> "job-" + i).toList();
    for (int i = 1; i <= count; i++) {
      wide.addJob("job-" + i, i + 1, List.of("job-0"));
    }
    wide.addJob("job-last", count + 2, middle);
    wide.drainReleased();
    wide.recordEnd("job-0", JobState.DONE, 5);
    assertEquals(count, wide.drainReleased().size());
    for (int i = 1; i <= count; i++) {
      assertEquals(DependencyGraph.State.WAITING, wide.stateOf("job-last"));
      wide.recordEnd("job-" + i, JobState.DONE, i);
    }
    assertEquals(List.of("job-last"), wide.drainReleased());
    assertEquals(count, wide.releasedMicros("job-last"));
  }

  /** A later job's deadline reaches back when it comes, and goes with it when it is cancelled. */
  @Test
  void aDeadlineIsUndoneWithTheJobThatHadIt() {
    DependencyGraph dependencies = new DependencyGraph();
    dependencies.addJob("job-1", 1, List.of());
    dependencies.setGoal("job-1", aim(Long.MAX_VALUE, Priority.IDLE), 7);
    dependencies.propagateGoals(uid -> {});
    dependencies.addJob("job-2", 2, List.of("job-1"));
    dependencies.setGoal("job-2", aim(90, Priority.HIGH), 20);
    dependencies.propagateGoals(uid -> {});
    assertEquals(70, dependencies.effectiveGoal("job-1").latestEndMicros());
    assertEquals(Priority.HIGH, dependencies.effectiveGoal("job-1").priority());
    dependencies.recordEnd("job-2", JobState.CANCELLED, 0);
    dependencies.propagateGoals(uid -> {});
    assertEquals(Long.MAX_VALUE, dependencies.effectiveGoal("job-1").latestEndMicros());
    assertEquals(Priority.IDLE, dependencies.effectiveGoal("job-1").priority());
  }
}
