package plumlever.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import plumlever.fleet.DependencyGraph;
import plumlever.wire.JobState;

/**
 * Reads jobs with all their direct and transitive dependencies from the state service and adds them
 * to a dependency graph. Each instance is used only once.
 */
final class DependencyReader {
  /**
   * The maximum number of rounds in which jobs are read one by one; each round reads the
   * dependencies that the previous one found. If jobs are still missing after that, all active jobs
   * are listed.
   */
  private static final int MAX_STEPS = 3;

  private final StateClient store;
  private final JobFinder finder;
  private final JobStateCache jobStates;
  private final DependencyGraph graph;
  private final Predicate<String> isComplete;
  private final Set<String> seen = new HashSet<>();
  private final Deque<String> queue = new ArrayDeque<>();
  private final Consumer<Boolean> handler;

  /**
   * The active records of all jobs, by job id. Empty unless they were listed because reading job by
   * job would take too many requests.
   */
  private Optional<Map<String, StateClient.Item>> allActive = Optional.empty();

  private int steps;

  /**
   * @param isComplete returns true for a job that is already in the graph with all of its
   *     dependencies
   * @param handler receives true if the records of all requested jobs and their dependencies could
   *     be read
   */
  DependencyReader(
      StateClient store,
      JobFinder finder,
      JobStateCache jobStates,
      DependencyGraph graph,
      Predicate<String> isComplete,
      Consumer<Boolean> handler) {
    this.store = store;
    this.finder = finder;
    this.jobStates = jobStates;
    this.graph = graph;
    this.isComplete = isComplete;
    this.handler = handler;
  }

  void read(Collection<String> uids) {
    seen.addAll(uids);
    queue.addAll(uids);
    processQueue();
  }

  /**
   * Adds the queued jobs to the dependency graph. Sends requests only for jobs whose records are
   * not known yet.
   */
  private void processQueue() {
    Set<String> unresolved = new LinkedHashSet<>();
    List<StateClient.Item> withList = new ArrayList<>();
    while (!queue.isEmpty()) {
      String uid = queue.poll();
      if (!addKnown(uid, withList)) {
        unresolved.add(uid);
      }
    }
    if (unresolved.isEmpty()) {
      readLists(withList);
    } else if (allActive.isEmpty()
        && (steps >= MAX_STEPS || unresolved.size() > JobFinder.MAX_SINGLE_READS)) {
      queue.addAll(unresolved);
      readAllActive(withList);
    } else {
      steps++;
      find(unresolved, withList);
    }
  }

  /**
   * Adds the job to the dependency graph if its record was read before; returns false if the record
   * has to be requested from the state service.
   */
  private boolean addKnown(String uid, List<StateClient.Item> withList) {
    Optional<JobState> finalState = jobStates.finalState(uid);
    if (finalState.isPresent()) {
      graph.recordEnd(uid, finalState.get(), 0);
    } else if (graph.stateOf(uid) != DependencyGraph.State.UNKNOWN) {
      // The job is in the graph already, but some of its dependencies may not be.
      enqueueDependencies(graph.openDependencies(uid));
    } else if (allActive.isPresent() && allActive.get().containsKey(uid)) {
      addActive(allActive.get().get(uid), withList);
    } else {
      return false;
    }
    return true;
  }

  private void readAllActive(List<StateClient.Item> withList) {
    store.list(
        RecordKeys.ACTIVE,
        StateClient.RequestPriority.ORDINARY,
        listing -> {
          if (listing.isEmpty()) {
            handler.accept(false);
            return;
          }
          Map<String, StateClient.Item> byUid = new HashMap<>();
          listing
              .get()
              .items()
              .forEach(item -> byUid.put(RecordKeys.uidOfActive(item.key()), item));
          allActive = Optional.of(byUid);
          readLists(withList);
        });
  }

  private void find(Set<String> uids, List<StateClient.Item> withList) {
    finder.find(
        uids,
        found -> {
          if (found.isEmpty()) {
            handler.accept(false);
            return;
          }
          found.get().forEach((uid, job) -> addFound(uid, job, withList));
          readLists(withList);
        });
  }

  private void addFound(String uid, JobFinder.Found job, List<StateClient.Item> withList) {
    // If a job ends during this read, a watch response may record its final state before the
    // response of this read arrives.
    Optional<JobState> finalState = job.finalState().or(() -> jobStates.finalState(uid));
    if (finalState.isPresent()) {
      jobStates.recordEnd(uid, finalState.get());
      graph.recordEnd(uid, finalState.get(), job.endedWallMicros());
    } else {
      job.active().ifPresent(item -> addActive(item, withList));
    }
  }

  private void addActive(StateClient.Item item, List<StateClient.Item> withList) {
    if (ActiveRecord.dependencyListKeys(RecordKeys.uidOfActive(item.key()), item.data())
        .isEmpty()) {
      addToGraph(item, ActiveRecord.inlineDependencies(item.data()));
    } else {
      withList.add(item);
    }
  }

  private void addToGraph(StateClient.Item item, List<String> dependencies) {
    graph.addJob(RecordKeys.uidOfActive(item.key()), item.revision(), dependencies);
    enqueueDependencies(dependencies);
  }

  private void enqueueDependencies(List<String> uids) {
    for (String uid : uids) {
      if (!isComplete.test(uid) && seen.add(uid)) {
        queue.add(uid);
      }
    }
  }

  /** Reads the separately stored dependency lists of these jobs, one job after the other. */
  private void readLists(List<StateClient.Item> jobs) {
    if (jobs.isEmpty()) {
      if (queue.isEmpty()) {
        handler.accept(true);
      } else {
        processQueue();
      }
      return;
    }
    StateClient.Item job = jobs.remove(jobs.size() - 1);
    List<String> keys =
        ActiveRecord.dependencyListKeys(RecordKeys.uidOfActive(job.key()), job.data());
    store.list(
        DependencyListRecords.prefixOfPart(keys.get(0)),
        StateClient.RequestPriority.ORDINARY,
        listing -> {
          Optional<List<String>> dependencies = listing.flatMap(found -> joinParts(keys, found));
          if (dependencies.isPresent()) {
            addToGraph(job, dependencies.get());
            readLists(jobs);
          } else {
            handler.accept(false);
          }
        });
  }

  /**
   * Joins the parts of a dependency list; empty if a part is missing. This happens only if the job
   * ended after its active record was read; the next read of the job finds its ended record.
   */
  private static Optional<List<String>> joinParts(List<String> keys, StateClient.Listing listing) {
    Map<String, List<String>> parts = new HashMap<>();
    listing.items().forEach(item -> parts.put(item.key(), DependencyListRecords.uids(item.data())));
    List<String> uids = new ArrayList<>();
    for (String key : keys) {
      if (!parts.containsKey(key)) {
        return Optional.empty();
      }
      uids.addAll(parts.get(key));
    }
    return Optional.of(uids);
  }
}
