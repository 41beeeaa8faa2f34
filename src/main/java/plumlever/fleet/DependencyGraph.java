package plumlever.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import plumlever.wire.JobState;
import plumlever.wire.Priority;

/**
 * Jobs that wait for others, and what follows from how those end. Pure: it is told what the stored
 * records say and asked what that means, by the controllers that answer users and by the leader
 * alike.
 *
 * <p>A job is released when all jobs that it waits on are stored as done, and cancelled as soon as
 * one before it, directly or through others, is stored as cancelled, unless it has ended itself.
 * Where only a later job has a deadline or is urgent, those before it get their part of that
 * ({@link EffectiveGoal}). Records never change and a job names only such as were accepted before
 * it, so there are no cycles; each word costs what it changes and no recursion.
 */
public final class DependencyGraph {
  /** What follows for a job from the records told so far. */
  public enum State {
    /** Nothing is known of it. */
    UNKNOWN,
    /** Some job that it waits on has not ended, as far as is known. */
    WAITING,
    /** All that it waits on are done. */
    RELEASED,
    /** It or a job before it is cancelled. */
    CANCELLED,
    DONE
  }

  /**
   * What a job is worth: its own, or what a job that needs it leaves it.
   *
   * @param submittedMicros when the job with the deadline was submitted
   * @param deadlineMicros its deadline, from then on; Long.MAX_VALUE for none
   * @param jobClass its class, whose aims say by how much the deadline may be missed
   * @param tailMicros what the jobs after this one take, on the longest way to that job and with it
   */
  public record EffectiveGoal(
      long submittedMicros,
      long deadlineMicros,
      String jobClass,
      long downstreamPathMicros,
      Priority priority) {
    /** By when this job has to be done; Long.MAX_VALUE for any time. */
    public long latestEndMicros() {
      return deadlineMicros == Long.MAX_VALUE
          ? Long.MAX_VALUE
          : submittedMicros + deadlineMicros - downstreamPathMicros;
    }

    private EffectiveGoal forDependency(long durationMicros) {
      return new EffectiveGoal(
          submittedMicros,
          deadlineMicros,
          jobClass,
          deadlineMicros == Long.MAX_VALUE ? 0 : downstreamPathMicros + durationMicros,
          priority);
    }

    private EffectiveGoal strictest(EffectiveGoal other) {
      EffectiveGoal sooner = other.latestEndMicros() < latestEndMicros() ? other : this;
      Priority otherPriority = other.priority.compareTo(priority) < 0 ? other.priority : priority;
      return sooner.priority == otherPriority
          ? sooner
          : new EffectiveGoal(
              sooner.submittedMicros,
              sooner.deadlineMicros,
              sooner.jobClass,
              sooner.downstreamPathMicros,
              otherPriority);
    }
  }

  private static final class Vertex {
    final String uid;
    final List<Vertex> dependencies = new ArrayList<>();
    final List<Vertex> dependents = new ArrayList<>();

    /** How many of the jobs that it waits on are not done, as far as is known. */
    int openDependencies;

    State state = State.UNKNOWN;
    String failedDependencyOf;
    long releasedMicros;

    /** Revision of its record: a job has a later one than those it waits on. */
    long revision;

    EffectiveGoal own;
    EffectiveGoal goal;
    long durationMicros;

    Vertex(String uid) {
      this.uid = uid;
    }

    boolean over() {
      return state == State.DONE || state == State.CANCELLED;
    }
  }

  private final Map<String, Vertex> vertices = new HashMap<>();
  private final List<String> released = new ArrayList<>();
  private final List<String> jobCancelled = new ArrayList<>();
  private final PriorityQueue<Vertex> stale =
      new PriorityQueue<>(Comparator.comparingLong((Vertex n) -> n.revision).reversed());

  private Vertex vertex(String uid) {
    return vertices.computeIfAbsent(uid, Vertex::new);
  }

  /**
   * The record of a job that has not ended.
   *
   * @return the jobs named of which nothing was known: what their records say is to be told too
   */
  public List<String> addJob(String uid, long revision, Collection<String> dependencies) {
    Vertex otherNode = vertex(uid);
    if (otherNode.state != State.UNKNOWN) {
      return List.of();
    }
    otherNode.state = State.WAITING;
    otherNode.revision = revision;
    List<String> unknown = new ArrayList<>();
    Vertex cause = null;
    for (String name : dependencies) {
      Vertex before = vertex(name);
      otherNode.dependencies.add(before);
      if (before.state == State.DONE) {
        otherNode.releasedMicros = Math.max(otherNode.releasedMicros, before.releasedMicros);
        continue;
      }
      otherNode.openDependencies++;
      before.dependents.add(otherNode);
      if (before.state == State.UNKNOWN) {
        unknown.add(name);
      } else if (before.state == State.CANCELLED) {
        cause = before;
      }
    }
    if (cause != null) {
      cancel(otherNode, cause.uid);
    } else if (otherNode.openDependencies == 0) {
      release(otherNode);
    }
    return unknown;
  }

  private void release(Vertex vertex) {
    vertex.state = State.RELEASED;
    released.add(vertex.uid);
  }

  /** The stored end of a job, of which anything may be known or not. */
  public void recordEnd(String uid, JobState how, long atMicros) {
    Vertex vertex = vertices.get(uid);
    if (vertex == null || vertex.state == State.DONE) {
      return;
    }
    if (how == JobState.CANCELLED) {
      if (vertex.state != State.CANCELLED) {
        cancel(vertex, uid);
      }
      remove(vertex);
      return;
    }
    vertex.state = State.DONE;
    for (Vertex after : vertex.dependents) {
      after.releasedMicros = Math.max(after.releasedMicros, atMicros);
      if (--after.openDependencies == 0 && after.state == State.WAITING) {
        release(after);
      }
    }
    remove(vertex);
  }

  /**
   * What has ended has told all that it ever will; should a later job name it, its record is read
   * again.
   */
  private void remove(Vertex vertex) {
    vertices.remove(vertex.uid, vertex);
  }

  /** Aborts it and all that need it; each is visited once. */
  private void cancel(Vertex first, String failedDependencyOf) {
    List<Vertex> next = new ArrayList<>();
    first.state = State.CANCELLED;
    first.failedDependencyOf = failedDependencyOf;
    next.add(first);
    for (int i = 0; i < next.size(); i++) {
      Vertex vertex = next.get(i);
      jobCancelled.add(vertex.uid);
      vertex.dependencies.forEach(this::markStale);
      for (Vertex after : vertex.dependents) {
        if (!after.over()) {
          after.state = State.CANCELLED;
          after.failedDependencyOf = failedDependencyOf;
          next.add(after);
        }
      }
    }
  }

  public State stateOf(String uid) {
    Vertex vertex = vertices.get(uid);
    return vertex == null ? State.UNKNOWN : vertex.state;
  }

  /** The revision of its record; 0 where nothing is known of it. */
  public long revision(String uid) {
    Vertex vertex = vertices.get(uid);
    return vertex == null ? 0 : vertex.revision;
  }

  /** The job whose cancel cancelled this one. */
  public String failedDependencyOf(String uid) {
    Vertex vertex = vertices.get(uid);
    return vertex == null ? null : vertex.failedDependencyOf;
  }

  /** When the last job that it waits on ended; 0 if that is not known or there is none. */
  public long releasedMicros(String uid) {
    Vertex vertex = vertices.get(uid);
    return vertex == null ? 0 : vertex.releasedMicros;
  }

  /** The jobs that it still waits on, for the log. */
  public List<String> openDependencies(String uid) {
    Vertex vertex = vertices.get(uid);
    return vertex == null
        ? List.of()
        : vertex.dependencies.stream().filter(b -> b.state != State.DONE).map(b -> b.uid).toList();
  }

  /** True if some job not over waits on it. */
  public boolean hasLiveDependents(String uid) {
    Vertex vertex = vertices.get(uid);
    return vertex != null && vertex.dependents.stream().anyMatch(a -> !a.over());
  }

  /** The jobs released since asked last. */
  public List<String> drainReleased() {
    return drain(released);
  }

  /** The jobs cancelled since asked last, the ones that were told among them. */
  public List<String> drainCancelled() {
    return drain(jobCancelled);
  }

  private static List<String> drain(List<String> from) {
    List<String> out = List.copyOf(from);
    from.clear();
    return out;
  }

  /** How many jobs are kept in mind. */
  public int size() {
    return vertices.size();
  }

  /** What the job itself asks for, and what it takes once it is released. */
  public void setGoal(String uid, EffectiveGoal own, long durationMicros) {
    Vertex vertex = vertices.get(uid);
    if (vertex == null) {
      return;
    }
    vertex.own = own;
    vertex.durationMicros = durationMicros;
    markStale(vertex);
    vertex.dependencies.forEach(this::markStale);
  }

  /** What jobs take is better known now than when they came. */
  public void updateDurations(ToLongFunction<String> durationMicros) {
    for (Vertex vertex : vertices.values()) {
      if (vertex.own != null && !vertex.over()) {
        long now = durationMicros.applyAsLong(vertex.uid);
        if (now != vertex.durationMicros) {
          vertex.durationMicros = now;
          vertex.dependencies.forEach(this::markStale);
        }
      }
    }
  }

  private void markStale(Vertex vertex) {
    if (vertex.own != null && !vertex.over()) {
      stale.add(vertex);
    }
  }

  /**
   * Works out again what has changed: the jobs accepted last come first, so each is looked at once,
   * after all that need it.
   *
   * @param changed takes each job whose aim is another now
   */
  public void propagateGoals(Consumer<String> changed) {
    Vertex last = null;
    while (!stale.isEmpty()) {
      Vertex vertex = stale.poll();
      if (vertex == last || vertex.over()) {
        continue;
      }
      last = vertex;
      EffectiveGoal now = vertex.own;
      for (Vertex after : vertex.dependents) {
        if (!after.over() && after.goal != null) {
          now = now.strictest(after.goal.forDependency(after.durationMicros));
        }
      }
      if (!now.equals(vertex.goal)) {
        vertex.goal = now;
        changed.accept(vertex.uid);
        vertex.dependencies.forEach(this::markStale);
      }
    }
  }

  /** What it is worth, what needs it considered; null before {@link #settleAims}. */
  public EffectiveGoal effectiveGoal(String uid) {
    Vertex vertex = vertices.get(uid);
    return vertex == null ? null : vertex.goal;
  }
}
