package plumlever.leader.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumlever.leader.context.TermContext;
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.store.Transaction;

/**
 * Removes stored dependency lists that no job uses: those of jobs that have ended, and those of
 * submissions that were refused or given up on after their list had been stored.
 *
 * <p>That a list in use is never removed follows from the transactions alone ({@link
 * plumlever.store.DependencyLists}). The time that a list is left alone is for controllers of
 * earlier versions, which accept a job without looking at the anchor of its list.
 */
public final class DependencyListCleanup {
  /** Pause between two clean-ups, and before the first. */
  public static final long INTERVAL_MICROS = 300_000_000;

  private static final long MIN_UNUSED_MICROS = 900_000_000;

  private final TermContext context;
  private final ActiveJobs jobs;

  /** When each list without an active job was first seen, by its anchor as it was then. */
  private final Map<UnusedList, Long> firstSeenMicros = new HashMap<>();

  private boolean listing;
  private boolean closed;

  /** A list without an active job, as it was listed; 0 where the anchor is gone. */
  private record UnusedList(JobStore.DependencyListId name, long anchorRevision) {}

  /** Cleans up what none of these jobs uses. */
  public DependencyListCleanup(TermContext context, ActiveJobs jobs) {
    this.context = context;
    this.jobs = jobs;
  }

  /**
   * Lists all stored dependency lists and removes those that have been unused for long enough.
   *
   * @return microseconds until this should be called next
   */
  public long run() {
    if (!listing && context.term().mayAct()) {
      listing = true;
      context
          .store()
          .list(
              JobStore.DEPENDENCIES,
              StateClient.RequestPriority.ORDINARY,
              found -> {
                listing = false;
                if (!closed) {
                  found.ifPresent(this::removeUnused);
                }
              });
    }
    return INTERVAL_MICROS;
  }

  private void removeUnused(StateClient.Listing found) {
    Map<UnusedList, List<String>> keysByList = unusedLists(found);
    firstSeenMicros.keySet().retainAll(keysByList.keySet());
    long now = context.loop().nowMicros();
    keysByList.forEach(
        (list, keys) -> {
          if (now - firstSeenMicros.computeIfAbsent(list, first -> now) >= MIN_UNUSED_MICROS) {
            remove(list.name(), list.anchorRevision(), keys);
          }
        });
  }

  private Map<UnusedList, List<String>> unusedLists(StateClient.Listing found) {
    Map<JobStore.DependencyListId, List<StateClient.Item>> itemsByName = new LinkedHashMap<>();
    for (StateClient.Item item : found.items()) {
      JobStore.dependencyListOf(item.key())
          .filter(name -> jobs.get(name.uid()) == null)
          .ifPresent(name -> itemsByName.computeIfAbsent(name, n -> new ArrayList<>()).add(item));
    }
    Map<UnusedList, List<String>> keysByList = new LinkedHashMap<>();
    itemsByName.forEach(
        (name, items) ->
            keysByList.put(
                new UnusedList(name, anchorRevision(name, items)),
                new ArrayList<>(items.stream().map(StateClient.Item::key).toList())));
    return keysByList;
  }

  private static long anchorRevision(JobStore.DependencyListId name, List<StateClient.Item> items) {
    String anchor = JobStore.anchorOf(name);
    return items.stream()
        .filter(item -> item.key().equals(anchor))
        .mapToLong(StateClient.Item::revision)
        .findFirst()
        .orElse(0);
  }

  /**
   * Removes as many parts as one transaction takes, then the next ones; the anchor goes with the
   * first. What fails is found again by the next listing.
   */
  private void remove(JobStore.DependencyListId name, long anchorRevision, List<String> keys) {
    if (closed || keys.isEmpty()) {
      return;
    }
    String anchor = JobStore.anchorOf(name);
    if (keys.remove(anchor)) {
      keys.add(0, anchor);
    }
    int sent = Math.min(keys.size(), context.layout().limits().maxOperations());
    Transaction transaction =
        context
            .layout()
            .removeDependencyList(context.term().requireTerm(), name, anchorRevision, keys);
    context
        .store()
        .transaction(
            transaction,
            StateClient.RequestPriority.ORDINARY,
            result -> {
              if (result.applied()) {
                context.metrics().count("dependency_list_parts_removed", sent);
                remove(name, 0, keys.subList(sent, keys.size()));
              }
            });
  }

  /** Removes nothing more. */
  public void close() {
    closed = true;
  }
}
