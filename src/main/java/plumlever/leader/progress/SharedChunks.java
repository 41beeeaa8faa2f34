package plumlever.leader.progress;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.store.RecordLayout;

/**
 * The progress records that small jobs share: which chunk holds which job, and which chunks have to
 * be written. A shared chunk is always written as a whole, with all of its jobs.
 */
final class SharedChunks {
  private static final class Chunk {
    final int number;
    final Set<Job> jobs = new LinkedHashSet<>();
    int bytes;
    boolean dirty;

    Chunk(int number) {
      this.number = number;
    }
  }

  private final TermContext context;
  private final Map<Integer, Chunk> chunks = new LinkedHashMap<>();
  private final Map<Job, Chunk> chunkByJob = new HashMap<>();

  SharedChunks(TermContext context) {
    this.context = context;
  }

  /**
   * Returns true if the job is small enough for a shared chunk (a progress record of several small
   * jobs) under the current limits.
   */
  boolean canShare(Job job) {
    return sizeOf(job) >= 0;
  }

  private int sizeOf(Job job) {
    return context.recordLayout().bytesInSharedChunk(job.spec());
  }

  /**
   * Assigns the job to the shared progress record in which an earlier leader stored it.
   *
   * @return false if the job no longer fits into that record
   */
  boolean adopt(Job job, int number) {
    Chunk chunk = chunks.computeIfAbsent(number, Chunk::new);
    if (!fits(chunk, job)) {
      return false;
    }
    insert(chunk, job);
    return true;
  }

  private boolean fits(Chunk chunk, Job job) {
    int bytes = sizeOf(job);
    return bytes >= 0 && chunk.bytes + bytes <= context.recordLayout().sharedChunkBytes();
  }

  private void insert(Chunk chunk, Job job) {
    chunk.jobs.add(job);
    chunk.bytes += RecordLayout.sizeInSharedChunk(job.spec());
    chunkByJob.put(job, chunk);
  }

  /**
   * Assigns the job to a shared progress record that has room for it, and schedules the record to
   * be written; call only if {@link #canShare} returns true.
   */
  void add(Job job) {
    Chunk chunk = chunkWithCapacity(sizeOf(job));
    insert(chunk, job);
    chunk.dirty = true;
  }

  private Chunk chunkWithCapacity(int bytes) {
    for (Chunk chunk : chunks.values()) {
      if (chunk.bytes + bytes <= context.recordLayout().sharedChunkBytes()) {
        return chunk;
      }
    }
    int number = 0;
    while (chunks.containsKey(number)) {
      number++;
    }
    Chunk chunk = new Chunk(number);
    chunks.put(number, chunk);
    return chunk;
  }

  /**
   * Schedules the shared progress record (chunk) of the job to be written.
   *
   * @return false if no chunk holds the job
   */
  boolean markDirty(Job job) {
    Chunk chunk = chunkByJob.get(job);
    if (chunk == null) {
      return false;
    }
    chunk.dirty = true;
    return true;
  }

  /** Returns true if any shared progress record has to be written. */
  boolean isDirty() {
    return chunks.values().stream().anyMatch(chunk -> chunk.dirty);
  }

  /**
   * Removes jobs from shared progress records that exceed the value size limit, which may have
   * decreased.
   *
   * @param assign assigns a removed job to another record
   */
  void splitOversized(Consumer<Job> assign) {
    for (Chunk chunk : List.copyOf(chunks.values())) {
      if (chunk.bytes > context.recordLayout().sharedChunkBytes()) {
        split(chunk).forEach(assign);
      }
    }
  }

  /** Removes the jobs that no longer fit into the shared progress record, and returns them. */
  private List<Job> split(Chunk chunk) {
    List<Job> jobs = new ArrayList<>(chunk.jobs);
    chunk.jobs.clear();
    chunk.bytes = 0;
    List<Job> removed = new ArrayList<>();
    for (Job job : jobs) {
      chunkByJob.remove(job);
      if (fits(chunk, job)) {
        insert(chunk, job);
      } else {
        removed.add(job);
      }
    }
    chunk.dirty = true;
    return removed;
  }

  /** Removes jobs that have ended; the next write of their shared progress record omits them. */
  void removeEnded() {
    chunks.values().forEach(this::removeEnded);
  }

  private void removeEnded(Chunk chunk) {
    Iterator<Job> jobs = chunk.jobs.iterator();
    while (jobs.hasNext()) {
      Job job = jobs.next();
      if (job.hasEnded()) {
        jobs.remove();
        chunk.bytes -= RecordLayout.sizeInSharedChunk(job.spec());
        chunkByJob.remove(job);
      }
    }
  }

  /**
   * Adds the shared progress records scheduled to be written to the transaction, as many as fit.
   */
  void addTo(ProgressBatch batch) {
    for (Chunk chunk : chunks.values()) {
      if (chunk.dirty && batch.fits(chunk.bytes)) {
        chunk.dirty = false;
        batch.onFailure(() -> chunk.dirty = true);
        put(chunk, batch);
      }
    }
  }

  private void put(Chunk chunk, ProgressBatch batch) {
    Map<String, BitSet> doneByJob = new LinkedHashMap<>();
    for (Job job : chunk.jobs) {
      doneByJob.put(job.uid(), job.completedTasks());
      batch.coverAllCompleted(job);
    }
    batch.put(
        RecordLayout.sharedChunkKey(chunk.number),
        chunk.bytes,
        context.recordLayout().sharedChunk(doneByJob));
  }
}
