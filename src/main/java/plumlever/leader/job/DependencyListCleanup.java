package plumlever.leader.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumlever.leader.context.Context;
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
  public static final long EVERY_MICROS = 300_000_000;
  static final long UNUSED_MICROS = 900_000_000;

  private final Context context;
  private final ActiveJobs jobs;

  /** When each list without an active job was first seen, by its anchor as it was then. */
  private final Map<Unused, Long> firstSeenMicros = new HashMap<>();

  private boolean listing;
  private boolean closed;

  private record Unused(JobStore.DependencyListId list, long anchorRevision) {}

  public DependencyListCleanup(Context context, ActiveJobs jobs) {
    this.context = context;
    this.jobs = jobs;
  }

  /** One turn of the duty; the answer is the pause until the next. */
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
                if (found != null && !closed) {
                  look(found);
                }
              });
    }
    return EVERY_MICROS;
  }

  private void look(StateClient.Listing found) {
    Map<JobStore.DependencyListId, List<StateClient.Item>> lists = new LinkedHashMap<>();
    for (StateClient.Item item : found.items()) {
      JobStore.dependencyListOf(item.key())
          .filter(list -> jobs.get(list.uid()) == null)
          .ifPresent(list -> lists.computeIfAbsent(list, unused -> new ArrayList<>()).add(item));
    }
    long now = context.loop().nowMicros();
    Map<Unused, List<String>> unused = new LinkedHashMap<>();
    lists.forEach(
        (list, items) ->
            unused.put(
                new Unused(list, anchorRevision(list, items)),
                new ArrayList<>(items.stream().map(StateClient.Item::key).toList())));
    firstSeenMicros.keySet().retainAll(unused.keySet());
    unused.forEach(
        (list, keys) -> {
          if (now - firstSeenMicros.computeIfAbsent(list, first -> now) >= UNUSED_MICROS) {
            remove(list.list(), list.anchorRevision(), keys);
          }
        });
  }

  private static long anchorRevision(JobStore.DependencyListId list, List<StateClient.Item> items) {
    String anchor = JobStore.anchorOf(list);
    return items.stream()
        .filter(item -> item.key().equals(anchor))
        .mapToLong(StateClient.Item::revision)
        .findFirst()
        .orElse(0);
  }

  /** Part by part, the anchor with the first; what fails is found again by the next listing. */
  private void remove(JobStore.DependencyListId list, long anchorRevision, List<String> keys) {
    if (closed || keys.isEmpty()) {
      return;
    }
    String anchor = JobStore.anchorOf(list);
    if (keys.remove(anchor)) {
      keys.add(0, anchor);
    }
    int sent = Math.min(keys.size(), context.layout().limits().maxOperations());
    Transaction transaction =
        context
            .layout()
            .removeDependencyList(context.term().requireTerm(), list, anchorRevision, keys);
    context
        .store()
        .transaction(
            transaction,
            StateClient.RequestPriority.ORDINARY,
            result -> {
              if (result.applied()) {
                context.metrics().count("dependency_list_parts_removed", sent);
                remove(list, 0, keys.subList(sent, keys.size()));
              }
            });
  }

  public void close() {
    closed = true;
  }
}
