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
import plumlever.store.JobStore;

/**
 * The records of jobs that are too large to share one: each has records of its own, and each record
 * holds the finished tasks of one range of tasks.
 */
final class LargeJobChunks {
  /** Base64 holds six tasks in each byte. */
  private static final int TASKS_PER_BYTE = 6;

  /** What a record takes besides the tasks, roughly. */
  private static final int BASE_BYTES = 100;

  private final TermContext context;

  /** First tasks of the chunks in which a task has finished since they were written, by job. */
  private final Map<Job, BitSet> dirty = new LinkedHashMap<>();

  private final Map<Job, Set<String>> keysByJob = new HashMap<>();
  private int tasksPerChunk;

  LargeJobChunks(TermContext context) {
    this.context = context;
    this.tasksPerChunk = context.layout().tasksPerChunk();
  }

  /** The job has these records, as an earlier leader left them. */
  void takeOver(Job job, Collection<String> keys) {
    keysByJob.computeIfAbsent(job, j -> new LinkedHashSet<>()).addAll(keys);
  }

  /** Has the chunk of the finished task written. */
  void markDirty(Job job, int task) {
    dirty.computeIfAbsent(job, j -> new BitSet()).set(task / tasksPerChunk * tasksPerChunk);
  }

  /** Has all chunks with finished tasks written. */
  void markAllDirty(Job job) {
    job.completedTasks().stream().forEach(task -> markDirty(job, task));
  }

  /** True if any chunk has to be written. */
  boolean isDirty() {
    return !dirty.isEmpty();
  }

  /** The job is complete: its end is stored instead. */
  void markComplete(Job job) {
    dirty.remove(job);
  }

  /** Keys of all records of the job. */
  List<String> keysOf(Job job) {
    return List.copyOf(keysByJob.getOrDefault(job, Set.of()));
  }

  /** The job has ended, and all its records are dropped. */
  void forget(Job job) {
    keysByJob.remove(job);
  }

  /** The limit may have fallen: chunks that would be too large now are cut anew. */
  void fitLimit() {
    if (context.layout().tasksPerChunk() >= tasksPerChunk) {
      return;
    }
    tasksPerChunk = context.layout().tasksPerChunk();
    Set<Job> jobs = new LinkedHashSet<>(dirty.keySet());
    jobs.addAll(keysByJob.keySet());
    dirty.clear();
    jobs.stream().filter(job -> !job.over()).forEach(this::markAllDirty);
  }

  /**
   * Forgets jobs that have ended.
   *
   * @param orphanedKeys to which the keys of their records are added
   */
  void removeEnded(Collection<String> orphanedKeys) {
    dirty.keySet().removeIf(Job::over);
    keysByJob
        .entrySet()
        .removeIf(
            entry -> {
              if (entry.getKey().over()) {
                orphanedKeys.addAll(entry.getValue());
              }
              return entry.getKey().over();
            });
  }

  /** Adds chunks that have to be written, as many as fit. */
  void addTo(ProgressWrite write) {
    Map<Job, BitSet> added = new LinkedHashMap<>();
    dirty.forEach((job, firstTasks) -> added.put(job, addTo(write, job, firstTasks)));
    added.forEach((job, firstTasks) -> dirty.get(job).andNot(firstTasks));
    dirty.values().removeIf(BitSet::isEmpty);
    write.onFailure(() -> added.forEach(this::restoreDirty));
  }

  private BitSet addTo(ProgressWrite write, Job job, BitSet firstTasks) {
    int size =
        Math.min(
            context.layout().valueBytes(), job.spec().taskCount() / TASKS_PER_BYTE + BASE_BYTES);
    BitSet added = new BitSet();
    for (int first = firstTasks.nextSetBit(0);
        first >= 0 && write.fits(size);
        first = firstTasks.nextSetBit(first + 1)) {
      added.set(first);
      put(write, job, first, size);
    }
    return added;
  }

  private void put(ProgressWrite write, Job job, int first, int size) {
    String key = JobStore.progressKey(job.uid(), first);
    keysByJob.computeIfAbsent(job, j -> new LinkedHashSet<>()).add(key);
    write.put(
        key, size, context.layout().progressChunk(job.completedTasks(), first, tasksPerChunk));
    write.storesDone(job, first, tasksPerChunk);
  }

  private void restoreDirty(Job job, BitSet firstTasks) {
    if (!firstTasks.isEmpty()) {
      dirty.computeIfAbsent(job, j -> new BitSet()).or(firstTasks);
    }
  }
}
