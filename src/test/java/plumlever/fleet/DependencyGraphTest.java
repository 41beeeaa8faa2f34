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
 * Tests of the dependency graph. One test compares the graph with a simple reference model that
 * recomputes all job states, deadlines and priorities after each change.
 */
final class DependencyGraphTest {
  /**
   * A slow model of the dependency graph for comparison: it keeps only the job records and derives
   * all states, deadlines and priorities anew on each call.
   */
  private static final class ReferenceModel {
    final Map<String, List<String>> dependencies = new HashMap<>();
    final Map<String, JobState> ended = new HashMap<>();
    final Map<String, EffectiveGoal> ownGoals = new HashMap<>();
    final Map<String, Long> durations = new HashMap<>();

    boolean cancelled(String uid) {
      return ended.get(uid) == JobState.CANCELLED
          || (ended.get(uid) == null && dependencies.get(uid).stream().anyMatch(this::cancelled));
    }

    boolean released(String uid) {
      return dependencies.get(uid).stream().allMatch(name -> ended.get(name) == JobState.DONE);
    }

    DependencyGraph.State state(String uid) {
      return ended.get(uid) == JobState.DONE
          ? DependencyGraph.State.DONE
          : cancelled(uid)
              ? DependencyGraph.State.CANCELLED
              : released(uid) ? DependencyGraph.State.RELEASED : DependencyGraph.State.WAITING;
    }

    /**
     * Returns the time by which the job must end so that it meets its own deadline and leaves its
     * dependents enough time to meet theirs.
     */
    long latestEnd(String uid) {
      long earliest = ownGoals.get(uid).latestEndMicros();
      for (String dependent : dependencies.keySet()) {
        if (dependencies.get(dependent).contains(uid)
            && ended.get(dependent) == null
            && !cancelled(dependent)) {
          long inherited = latestEnd(dependent);
          earliest =
              Math.min(
                  earliest,
                  inherited == Long.MAX_VALUE ? inherited : inherited - durations.get(dependent));
        }
      }
      return earliest;
    }

    Priority priority(String uid) {
      Priority highest = ownGoals.get(uid).priority();
      for (String dependent : dependencies.keySet()) {
        if (dependencies.get(dependent).contains(uid)
            && ended.get(dependent) == null
            && !cancelled(dependent)) {
          Priority inherited = priority(dependent);
          highest = inherited.compareTo(highest) < 0 ? inherited : highest;
        }
      }
      return highest;
    }
  }

  static LongStream seeds() {
    return LongStream.range(0, 150);
  }

  /** Adds, completes and cancels jobs in random order. Some records are read late or twice. */
  @ParameterizedTest
  @MethodSource("seeds")
  void agreesWithReferenceModel(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ReferenceModel model = new ReferenceModel();
    DependencyGraph graph = new DependencyGraph();
    List<String> all = new ArrayList<>();
    Set<String> released = new HashSet<>();
    Set<String> cancelled = new HashSet<>();
    for (int step = 0; step < 60; step++) {
      if (all.size() < 14 && random.nextInt(3) > 0) {
        accept(random, model, graph, all);
      } else if (!all.isEmpty()) {
        String uid = all.get(random.nextInt(all.size()));
        if (model.ended.get(uid) == null) {
          boolean done = model.released(uid) && !model.cancelled(uid) && random.nextInt(3) > 0;
          if (done || random.nextInt(4) == 0) {
            model.ended.put(uid, done ? JobState.DONE : JobState.CANCELLED);
            graph.recordEnd(uid, model.ended.get(uid), step);
          }
        } else {
          graph.recordEnd(uid, model.ended.get(uid), step);
        }
      }
      if (random.nextInt(5) == 0) {
        for (String uid : all) {
          model.durations.put(uid, 1 + random.nextLong(30));
        }
        graph.updateDurations(model.durations::get);
      }
      graph.propagateGoals(uid -> {});
      released.addAll(graph.drainReleased());
      cancelled.addAll(graph.drainCancelled());
      check(model, graph, all, released, cancelled);
    }
    assertTrue(!released.isEmpty() && all.size() > 5);
  }

  private static void accept(
      SplittableRandom random, ReferenceModel model, DependencyGraph graph, List<String> all) {
    String uid = "job-" + all.size();
    List<String> dependencies = new ArrayList<>();
    for (String earlier : all) {
      if (random.nextInt(4) == 0) {
        dependencies.add(earlier);
      }
    }
    all.add(uid);
    model.dependencies.put(uid, dependencies);
    model.durations.put(uid, 1 + random.nextLong(30));
    model.ownGoals.put(
        uid,
        new EffectiveGoal(
            all.size(),
            random.nextInt(3) == 0 ? 100 + random.nextLong(200) : Long.MAX_VALUE,
            "c",
            0,
            Priority.values()[random.nextInt(4)]));
    List<String> unknown = graph.addJob(uid, 1 + all.size(), dependencies);
    for (String name : unknown) {
      JobState finalState = model.ended.get(name);
      assertTrue(finalState != null, name + " is not in the graph, so it must have ended");
      graph.recordEnd(name, finalState, 0);
    }
    graph.setGoal(uid, model.ownGoals.get(uid), model.durations.get(uid));
    // A repeated addJob must change nothing.
    graph.addJob(uid, 1 + all.size(), List.of());
  }

  private static void check(
      ReferenceModel model,
      DependencyGraph graph,
      List<String> all,
      Set<String> released,
      Set<String> cancelled) {
    for (String uid : all) {
      DependencyGraph.State now = model.state(uid);
      if (model.ended.get(uid) != null) {
        assertEquals(
            DependencyGraph.State.UNKNOWN,
            graph.stateOf(uid),
            uid + " has ended, so the graph must not hold it");
        continue;
      }
      assertEquals(now, graph.stateOf(uid), uid);
      assertEquals(
          now == DependencyGraph.State.RELEASED,
          released.contains(uid) && !cancelled.contains(uid),
          uid + " must be drained as released, and not as cancelled, exactly if it is released");
      assertEquals(
          now == DependencyGraph.State.CANCELLED,
          cancelled.contains(uid),
          uid + " must be drained as cancelled exactly if it is cancelled");
      if (now != DependencyGraph.State.CANCELLED) {
        assertEquals(
            model.latestEnd(uid),
            graph.effectiveGoal(uid).latestEndMicros(),
            uid + ": effective deadline");
        assertEquals(
            model.priority(uid), graph.effectiveGoal(uid).priority(), uid + ": effective priority");
      }
    }
  }

  private static EffectiveGoal goal(long deadline, Priority priority) {
    return new EffectiveGoal(0, deadline, "c", 0, priority);
  }

  /**
   * Length of a chain of jobs that is long enough for a recursive traversal to overflow the stack.
   */
  private static final int JOB_COUNT = 10_000;

  private static final long LAST_DEADLINE = 1_000_000;

  /**
   * Returns a chain of {@link #JOB_COUNT} dependent jobs in which only the last job has a deadline
   * and a high priority.
   */
  private static DependencyGraph longChain() {
    DependencyGraph graph = new DependencyGraph();
    for (int i = 0; i < JOB_COUNT; i++) {
      boolean last = i == JOB_COUNT - 1;
      graph.addJob("job-" + i, i + 1, i == 0 ? List.of() : List.of("job-" + (i - 1)));
      graph.setGoal(
          "job-" + i,
          goal(last ? LAST_DEADLINE : Long.MAX_VALUE, last ? Priority.PROD : Priority.IDLE),
          10);
    }
    return graph;
  }

  @Test
  void propagatesGoalFromLastToFirstJobOfLongChain() {
    DependencyGraph graph = longChain();

    graph.propagateGoals(uid -> {});

    assertEquals(
        LAST_DEADLINE - 10L * (JOB_COUNT - 1), graph.effectiveGoal("job-0").latestEndMicros());
    assertEquals(Priority.PROD, graph.effectiveGoal("job-0").priority());
  }

  @Test
  void recomputesEachGoalOnceAndOnlyAfterAChange() {
    DependencyGraph graph = longChain();
    List<String> changed = new ArrayList<>();

    graph.propagateGoals(changed::add);
    assertEquals(JOB_COUNT, changed.size(), "each job's goal changes once");

    graph.propagateGoals(changed::add);
    assertEquals(JOB_COUNT, changed.size(), "without a change no goal is recomputed");
  }

  @Test
  void propagatesCancellationToLastJobOfLongChain() {
    DependencyGraph graph = longChain();
    graph.propagateGoals(uid -> {});
    graph.drainReleased();

    graph.recordEnd("job-0", JobState.CANCELLED, 0);

    assertEquals(JOB_COUNT, graph.drainCancelled().size());
    assertEquals("job-0", graph.failedDependencyOf("job-" + (JOB_COUNT - 1)).orElseThrow());
  }

  @Test
  void releasesJobWhenLastOfManyDependenciesIsDone() {
    DependencyGraph graph = new DependencyGraph();
    graph.addJob("job-0", 1, List.of());
    List<String> middle = IntStream.rangeClosed(1, JOB_COUNT).mapToObj(i -> "job-" + i).toList();
    for (int i = 1; i <= JOB_COUNT; i++) {
      graph.addJob("job-" + i, i + 1, List.of("job-0"));
    }
    graph.addJob("job-last", JOB_COUNT + 2, middle);
    graph.drainReleased();

    graph.recordEnd("job-0", JobState.DONE, 5);
    assertEquals(JOB_COUNT, graph.drainReleased().size());

    for (int i = 1; i <= JOB_COUNT; i++) {
      assertEquals(DependencyGraph.State.WAITING, graph.stateOf("job-last"));
      graph.recordEnd("job-" + i, JobState.DONE, i);
    }
    assertEquals(List.of("job-last"), graph.drainReleased());
    assertEquals(JOB_COUNT, graph.releasedMicros("job-last"));
  }

  @Test
  void removesInheritedGoalWhenDependentIsCancelled() {
    DependencyGraph graph = new DependencyGraph();
    graph.addJob("job-1", 1, List.of());
    graph.setGoal("job-1", goal(Long.MAX_VALUE, Priority.IDLE), 7);
    graph.propagateGoals(uid -> {});
    graph.addJob("job-2", 2, List.of("job-1"));
    graph.setGoal("job-2", goal(90, Priority.HIGH), 20);
    graph.propagateGoals(uid -> {});

    assertEquals(70, graph.effectiveGoal("job-1").latestEndMicros());
    assertEquals(Priority.HIGH, graph.effectiveGoal("job-1").priority());

    graph.recordEnd("job-2", JobState.CANCELLED, 0);
    graph.propagateGoals(uid -> {});

    assertEquals(Long.MAX_VALUE, graph.effectiveGoal("job-1").latestEndMicros());
    assertEquals(Priority.IDLE, graph.effectiveGoal("job-1").priority());
  }
}
