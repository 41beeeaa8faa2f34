package plumlever.leader.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumlever.leader.context.TermContext;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;
import plumlever.store.Transaction;

/**
 * Removes stored dependency lists that no active job uses: lists of jobs that have ended, and lists
 * of submissions that were refused or abandoned after their list had been stored.
 *
 * <p>The transactions alone guarantee that a list in use is never removed ({@link
 * plumlever.store.DependencyLists}). The minimum unused time before removal exists for controllers
 * of earlier versions, which accept a job without checking the anchor (the first value) of its
 * list.
 */
public final class DependencyListCleanup {
  /** Interval between two clean-ups, and delay before the first clean-up. */
  public static final long INTERVAL_MICROS = 300_000_000;

  private static final long MIN_UNUSED_MICROS = 900_000_000;

  private final TermContext context;
  private final ActiveJobs jobs;

  /**
   * Time at which each unused dependency list was first seen. A list whose anchor, its first value,
   * has changed counts as a new list.
   */
  private final Map<UnusedList, Long> firstSeenMicros = new HashMap<>();

  private boolean listing;
  private boolean closed;

  /**
   * A stored dependency list without an active job.
   *
   * @param anchorRevision revision of the anchor (the first value of the list) when the list was
   *     read; 0 if the anchor is missing
   */
  private record UnusedList(RecordLayout.DependencyListId name, long anchorRevision) {}

  /** Creates a clean-up that keeps the dependency lists of these active jobs. */
  public DependencyListCleanup(TermContext context, ActiveJobs jobs) {
    this.context = context;
    this.jobs = jobs;
  }

  /**
   * Lists all stored dependency lists and removes those that have been unused for the minimum time.
   *
   * @return microseconds until the next call
   */
  public long run() {
    if (!listing && context.term().mayAct()) {
      listing = true;
      context
          .store()
          .list(
              RecordLayout.DEPENDENCIES,
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
    Map<RecordLayout.DependencyListId, List<StateClient.Item>> itemsByName = new LinkedHashMap<>();
    for (StateClient.Item item : found.items()) {
      RecordLayout.dependencyListOf(item.key())
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

  private static long anchorRevision(
      RecordLayout.DependencyListId name, List<StateClient.Item> items) {
    String anchor = RecordLayout.anchorKey(name);
    return items.stream()
        .filter(item -> item.key().equals(anchor))
        .mapToLong(StateClient.Item::revision)
        .findFirst()
        .orElse(0);
  }

  /**
   * Removes the dependency list in batches of one transaction each, with the anchor (the first
   * value of the list) in the first batch. If a transaction fails, the next clean-up removes the
   * remaining values of the list.
   */
  private void remove(RecordLayout.DependencyListId name, long anchorRevision, List<String> keys) {
    if (closed || keys.isEmpty()) {
      return;
    }
    String anchor = RecordLayout.anchorKey(name);
    if (keys.remove(anchor)) {
      keys.add(0, anchor);
    }
    int sent = Math.min(keys.size(), context.recordLayout().limits().maxOperations());
    Transaction transaction =
        context
            .recordLayout()
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

  /** Stops the clean-up; no further removals are sent. */
  public void close() {
    closed = true;
  }
}
