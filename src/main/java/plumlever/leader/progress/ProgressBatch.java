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
 * One transaction of progress records. While the transaction is built, the remaining capacity is
 * tracked; afterwards its outcome is applied to the jobs and to the known revisions. Each record
 * that is written is guarded by its own revision.
 */
final class ProgressBatch {
  /**
   * Maximum total size in bytes of the progress records in one transaction. A request is limited to
   * 64 KiB; the difference is left for the rest of the request.
   */
  private static final long MAX_BYTES = 48 * 1024;

  private final RecordRevisions revisions;
  private final Transaction transaction;
  private final Set<String> keys = new LinkedHashSet<>();
  private final Map<Job, BitSet> coveredTasks = new LinkedHashMap<>();
  private final List<Runnable> failureActions = new ArrayList<>();
  private int operationsLeft;
  private long bytes;

  ProgressBatch(TermContext context, RecordRevisions revisions) {
    this.revisions = revisions;
    this.transaction = context.term().requireTerm();
    this.operationsLeft = context.recordLayout().limits().maxOperations();
  }

  /** Returns true if one more progress record of this size fits into the transaction. */
  boolean fits(long moreBytes) {
    return operationsLeft > 0 && bytes + moreBytes <= MAX_BYTES;
  }

  /** Returns true if one more delete fits into the transaction. */
  boolean canDelete() {
    return operationsLeft > 0;
  }

  /**
   * Adds the write of a progress record to the transaction; call only if {@link #fits} returns
   * true.
   */
  void put(String key, long size, JsonNode value) {
    operationsLeft--;
    bytes += size;
    keys.add(key);
    transaction.require(key, revisions.of(key)).put(key, value);
  }

  /**
   * Adds the delete of the progress record of an ended job to the transaction. The delete is not
   * guarded by a revision, because any later content of the record is useless as well.
   */
  void delete(String key) {
    operationsLeft--;
    transaction.delete(key);
  }

  /**
   * Notes that the transaction stores the completion of all tasks of the job that are finished now;
   * they count as stored once the transaction is applied.
   */
  void coverAllCompleted(Job job) {
    coveredTasks.put(job, (BitSet) job.completedTasks().clone());
  }

  /**
   * Notes that the transaction stores the completion of those tasks in the range that are finished
   * now; they count as stored once the transaction is applied.
   */
  void coverCompleted(Job job, int firstTask, int tasks) {
    BitSet stored = coveredTasks.computeIfAbsent(job, j -> new BitSet());
    BitSet done = job.completedTasks();
    for (int task = done.nextSetBit(firstTask);
        task >= 0 && task < firstTask + tasks;
        task = done.nextSetBit(task + 1)) {
      stored.set(task);
    }
  }

  /** Adds an action to run if the transaction failed or its outcome is unknown. */
  void onFailure(Runnable action) {
    failureActions.add(action);
  }

  boolean isEmpty() {
    return transaction.operationCount() == 0;
  }

  Transaction transaction() {
    return transaction;
  }

  /** Returns the keys of the records that the transaction writes. */
  Set<String> keys() {
    return Collections.unmodifiableSet(keys);
  }

  /**
   * Marks the tasks that the transaction has stored, and updates the known revisions of its
   * records.
   *
   * @param revision the revision of the state service at which the transaction was applied
   */
  void applied(long revision) {
    revisions.written(keys, revision);
    coveredTasks.forEach((job, done) -> job.storedTasks().or(done));
  }

  /** Runs the failure actions, because the transaction failed or its outcome is unknown. */
  void failed() {
    failureActions.forEach(Runnable::run);
  }
}
