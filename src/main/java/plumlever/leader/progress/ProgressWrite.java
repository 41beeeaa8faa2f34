package plumlever.leader.progress;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.store.Transaction;

/**
 * One transaction of progress records: what it may still take while it is put together, and what
 * follows from its outcome. Each record that it puts is guarded by the record's own revision.
 */
final class ProgressWrite {
  /** Leaves room in a request of 64 KiB. */
  private static final long MAX_BYTES = 48 * 1024;

  private final RecordRevisions revisions;
  private final Transaction transaction;
  private final Set<String> keys = new LinkedHashSet<>();
  private final Map<Job, BitSet> doneTasks = new LinkedHashMap<>();
  private final List<Runnable> failureActions = new ArrayList<>();
  private int operationsLeft;
  private long bytes;

  ProgressWrite(TermContext context, RecordRevisions revisions) {
    this.revisions = revisions;
    this.transaction = context.term().requireTerm();
    this.operationsLeft = context.layout().limits().maxOperations();
  }

  /** True if one more record of that size may be put. */
  boolean fits(long moreBytes) {
    return operationsLeft > 0 && bytes + moreBytes <= MAX_BYTES;
  }

  /** True if one more record may be dropped. */
  boolean mayDrop() {
    return operationsLeft > 0;
  }

  /** Puts a record, which {@link #fits}. */
  void put(String key, long size, JsonNode value) {
    operationsLeft--;
    bytes += size;
    keys.add(key);
    transaction.require(key, revisions.of(key)).put(key, value);
  }

  /** Drops the record of a job that has ended: whatever is written there is of no use. */
  void drop(String key) {
    operationsLeft--;
    transaction.delete(key);
  }

  /** All tasks of the job that are done now count as stored once this is applied. */
  void storesAllDone(Job job) {
    doneTasks.put(job, (BitSet) job.completedTasks().clone());
  }

  /** The tasks of a range that are done now count as stored once this is applied. */
  void storesDone(Job job, int firstTask, int tasks) {
    BitSet stored = doneTasks.computeIfAbsent(job, j -> new BitSet());
    BitSet done = job.completedTasks();
    for (int task = done.nextSetBit(firstTask);
        task >= 0 && task < firstTask + tasks;
        task = done.nextSetBit(task + 1)) {
      stored.set(task);
    }
  }

  /** Has the action run if this is not known to have been applied. */
  void onFailure(Runnable action) {
    failureActions.add(action);
  }

  boolean isEmpty() {
    return transaction.operationCount() == 0;
  }

  Transaction transaction() {
    return transaction;
  }

  /** Keys of the records that it puts. */
  Set<String> keys() {
    return Collections.unmodifiableSet(keys);
  }

  /** It was applied at this revision of the state service. */
  void applied(long revision) {
    revisions.written(keys, revision);
    doneTasks.forEach((job, done) -> job.storedTasks().or(done));
  }

  /** It was not applied, or that is not known. */
  void failed() {
    failureActions.forEach(Runnable::run);
  }
}
