package plumlever.leader.progress;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.store.RecordLayout;

/**
 * The progress records of jobs that are too large to share a record with other jobs. Each of these
 * jobs has its own records, called chunks; a chunk holds the finished tasks of one range of tasks.
 */
final class LargeJobChunks {
  /** Each Base64 character of the stored set of finished tasks encodes six tasks. */
  private static final int TASKS_PER_BYTE = 6;

  /** Approximate size in bytes of a progress record without its set of finished tasks. */
  private static final int BASE_BYTES = 100;

  private final TermContext context;

  /**
   * The chunks (progress records) that have to be written because a task has finished since the
   * last write; each chunk is identified by its job and the number of its first task.
   */
  private final Map<Job, BitSet> dirty = new LinkedHashMap<>();

  private final Map<Job, Set<String>> keysByJob = new HashMap<>();
  private int tasksPerChunk;

  LargeJobChunks(TermContext context) {
    this.context = context;
    this.tasksPerChunk = context.recordLayout().tasksPerChunk();
  }

  /** Takes over the progress records that an earlier leader stored for the job. */
  void adopt(Job job, Collection<String> keys) {
    keysByJob.computeIfAbsent(job, j -> new LinkedHashSet<>()).addAll(keys);
  }

  /** Schedules the progress record (chunk) that covers the finished task to be written. */
  void markDirty(Job job, int task) {
    dirty.computeIfAbsent(job, j -> new BitSet()).set(task / tasksPerChunk * tasksPerChunk);
  }

  /**
   * Schedules all progress records (chunks) of the job that contain finished tasks to be written.
   */
  void markAllDirty(Job job) {
    job.completedTasks().stream().forEach(task -> markDirty(job, task));
  }

  /** Returns true if any progress record of a large job has to be written. */
  boolean isDirty() {
    return !dirty.isEmpty();
  }

  /**
   * Discards the scheduled progress writes of a complete job; its final state is stored instead.
   */
  void markComplete(Job job) {
    dirty.remove(job);
  }

  /** Returns the keys of all stored progress records of the job. */
  List<String> keysOf(Job job) {
    return List.copyOf(keysByJob.getOrDefault(job, Set.of()));
  }

  /** Forgets a job that has ended; the caller deletes its progress records. */
  void remove(Job job) {
    keysByJob.remove(job);
  }

  /**
   * Divides the tasks of large jobs into smaller progress records if the value size limit has
   * decreased.
   */
  void enforceValueLimit() {
    if (context.recordLayout().tasksPerChunk() >= tasksPerChunk) {
      return;
    }
    tasksPerChunk = context.recordLayout().tasksPerChunk();
    Set<Job> jobs = new LinkedHashSet<>(dirty.keySet());
    jobs.addAll(keysByJob.keySet());
    dirty.clear();
    jobs.stream().filter(job -> !job.hasEnded()).forEach(this::markAllDirty);
  }

  /**
   * Forgets the jobs that have ended.
   *
   * @param orphanedKeys receives the keys of their progress records
   */
  void removeEnded(Collection<String> orphanedKeys) {
    dirty.keySet().removeIf(Job::hasEnded);
    keysByJob
        .entrySet()
        .removeIf(
            entry -> {
              if (entry.getKey().hasEnded()) {
                orphanedKeys.addAll(entry.getValue());
              }
              return entry.getKey().hasEnded();
            });
  }

  /** Adds the progress records scheduled to be written to the transaction, as many as fit. */
  void addTo(ProgressBatch batch) {
    Map<Job, BitSet> added = new LinkedHashMap<>();
    dirty.forEach((job, firstTasks) -> added.put(job, addTo(batch, job, firstTasks)));
    added.forEach((job, firstTasks) -> dirty.get(job).andNot(firstTasks));
    dirty.values().removeIf(BitSet::isEmpty);
    batch.onFailure(() -> added.forEach(this::restoreDirty));
  }

  private BitSet addTo(ProgressBatch batch, Job job, BitSet firstTasks) {
    int size =
        Math.min(
            context.recordLayout().maxValueBytes(),
            job.spec().taskCount() / TASKS_PER_BYTE + BASE_BYTES);
    BitSet added = new BitSet();
    for (int first = firstTasks.nextSetBit(0);
        first >= 0 && batch.fits(size);
        first = firstTasks.nextSetBit(first + 1)) {
      added.set(first);
      put(batch, job, first, size);
    }
    return added;
  }

  private void put(ProgressBatch batch, Job job, int first, int size) {
    String key = RecordLayout.progressKey(job.uid(), first);
    keysByJob.computeIfAbsent(job, j -> new LinkedHashSet<>()).add(key);
    batch.put(
        key,
        size,
        context.recordLayout().progressChunk(job.completedTasks(), first, tasksPerChunk));
    batch.coverCompleted(job, first, tasksPerChunk);
  }

  private void restoreDirty(Job job, BitSet firstTasks) {
    if (!firstTasks.isEmpty()) {
      dirty.computeIfAbsent(job, j -> new BitSet()).or(firstTasks);
    }
  }
}
