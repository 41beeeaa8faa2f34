package plumlever.leader.progress;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.fleet.Job;
import plumlever.leader.context.Context;
import plumlever.leader.job.ActiveJobs;
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.JobState;

/**
 * Writes finished tasks in batches, and the end of a job at once: its user expects to read it
 * within seconds of the last task. Small jobs share records, since changes are what the state
 * service has least of. Losing stored progress is safe: a completed task that is started again ends
 * at once. All the same each record is guarded by its own revision, so that a write carried out
 * late undoes nothing, and one at a time is under way.
 */
public final class ProgressWriter {
  private static final long RETRY_MICROS = 300_000;

  /** Base64 holds six tasks in each byte. */
  private static final int TASKS_PER_BYTE = 6;

  private static final long MOST_BYTES = 48 * 1024;

  /** A record that small jobs share. */
  private static final class SharedChunk {
    final int number;
    final Set<Job> jobs = new LinkedHashSet<>();
    int bytes;
    boolean dirty;

    SharedChunk(int number) {
      this.number = number;
    }
  }

  private final Logger log;
  private final Context context;
  private final ActiveJobs jobs;
  private final Map<Integer, SharedChunk> sharedChunks = new LinkedHashMap<>();
  private final Map<Job, SharedChunk> sharedChunkOf = new HashMap<>();

  /**
   * Chunks of large jobs, by their first task, that have not been written since a task of theirs
   * finished.
   */
  private final Map<Job, BitSet> dirty = new LinkedHashMap<>();

  /** The revision of each record, 0 where there is none; without an entry it is to be read. */
  private final Map<String, Long> revisions = new HashMap<>();

  /** The records of a large job. */
  private final Map<Job, Set<String>> keysOf = new HashMap<>();

  /** Records of jobs that have ended. */
  private final ArrayDeque<String> unknownMachines = new ArrayDeque<>();

  private final Set<Job> ending = new LinkedHashSet<>();
  private int tasksPerChunk;
  private boolean writing;
  private boolean closed;

  /** Writes the progress of these jobs. */
  public ProgressWriter(Context context, ActiveJobs jobs) {
    this.context = context;
    this.log = context.logs().of(ProgressWriter.class);
    this.jobs = jobs;
    this.tasksPerChunk = context.layout().tasksPerChunk();
  }

  /**
   * The shared chunks as earlier leaders left them: a record is only written whole, with all its
   * jobs. What an earlier limit let share one record may not fit any more: the rest goes to others,
   * and until they are written this one stays as it is.
   */
  public void loaded() {
    revisions.putAll(jobs.sharedChunkRevisions());
    jobs.chunks()
        .forEach(
            (job, keys) -> {
              revisions.putAll(keys);
              keysOf.computeIfAbsent(job, j -> new LinkedHashSet<>()).addAll(keys.keySet());
            });
    unknownMachines.addAll(jobs.unknownMachines());
    List<Job> moved = new ArrayList<>();
    jobs.sharedChunks()
        .forEach(
            (job, number) -> {
              SharedChunk sharedChunk = sharedChunks.computeIfAbsent(number, SharedChunk::new);
              int bytes = context.layout().bytesInSharedChunk(job.spec());
              if (bytes >= 0 && sharedChunk.bytes + bytes <= context.layout().sharedChunkBytes()) {
                enter(sharedChunk, job);
              } else {
                moved.add(job);
              }
            });
    moved.forEach(this::keep);
  }

  private void enter(SharedChunk sharedChunk, Job job) {
    sharedChunk.jobs.add(job);
    sharedChunk.bytes += JobStore.sizeInSharedChunk(job.spec());
    sharedChunkOf.put(job, sharedChunk);
  }

  /** Has the job's finished tasks written, wherever there is room. */
  private void keep(Job job) {
    int bytes = context.layout().bytesInSharedChunk(job.spec());
    if (bytes < 0) {
      job.completedTasks().stream().forEach(t -> dirtyChunk(job, t));
      return;
    }
    SharedChunk sharedChunk = sharedChunkWithSpace(bytes);
    enter(sharedChunk, job);
    sharedChunk.dirty = true;
  }

  private void dirtyChunk(Job job, int task) {
    dirty.computeIfAbsent(job, j -> new BitSet()).set(task / tasksPerChunk * tasksPerChunk);
  }

  /**
   * Has the finished task stored with the next write, or the job's end at once if it was the last.
   */
  public void taskDone(Job job, int task) {
    if (job.complete()) {
      dirty.remove(job);
      if (ending.add(job)) {
        end(job);
      }
      return;
    }
    SharedChunk sharedChunk = sharedChunkOf.get(job);
    if (sharedChunk != null) {
      sharedChunk.dirty = true;
    } else if (context.layout().bytesInSharedChunk(job.spec()) < 0) {
      dirtyChunk(job, task);
    } else {
      keep(job);
    }
  }

  private SharedChunk sharedChunkWithSpace(int bytes) {
    for (SharedChunk sharedChunk : sharedChunks.values()) {
      if (sharedChunk.bytes + bytes <= context.layout().sharedChunkBytes()) {
        return sharedChunk;
      }
    }
    int number = 0;
    while (sharedChunks.containsKey(number)) {
      number++;
    }
    SharedChunk sharedChunk = new SharedChunk(number);
    sharedChunks.put(number, sharedChunk);
    return sharedChunk;
  }

  private void end(Job job) {
    if (closed || job.over()) {
      ending.remove(job);
      return;
    }
    List<String> records = List.copyOf(keysOf.getOrDefault(job, Set.of()));
    int dropped = Math.min(records.size(), context.layout().dropsAtEnd());
    Transaction transaction =
        context
            .layout()
            .end(
                job.uid(),
                job.revision(),
                JobState.DONE,
                context.loop().wallMicros(),
                records.subList(0, dropped));
    context
        .store()
        .transaction(
            transaction,
            StateClient.RequestPriority.URGENT,
            result -> {
              switch (result.outcome()) {
                case APPLIED -> {
                  context.metrics().count("jobs_done");
                  log.debug("{} done", job.uid());
                  unknownMachines.addAll(records.subList(dropped, records.size()));
                  keysOf.remove(job);
                  ended(job, JobState.DONE);
                }
                case CONFLICT -> settle(job);
                default -> context.loop().after(RETRY_MICROS, () -> end(job));
              }
            });
  }

  /**
   * Somebody else ended it, or an earlier write of this controller's own was carried out unheard.
   */
  private void settle(Job job) {
    context
        .store()
        .get(
            JobStore.endedKey(job.uid()),
            StateClient.RequestPriority.URGENT,
            got -> {
              JobState how = got.found() ? JobStore.finalState(got.item().data()) : null;
              if (how != null) {
                ended(job, how);
              } else {
                context.loop().after(RETRY_MICROS, () -> end(job));
              }
            });
  }

  private void ended(Job job, JobState how) {
    ending.remove(job);
    jobs.ended(job.uid(), how);
  }

  /** One turn of the duty: as much as one transaction takes, the oldest first. */
  public long write() {
    long pause = context.parameters().progressPauseMicros();
    forgetEnded();
    fitLimits();
    if (writing || closed) {
      return pause;
    }
    Transaction transaction = context.term().requireTerm();
    Map<Job, BitSet> snapshots = new LinkedHashMap<>();
    List<SharedChunk> sentSharedChunks = new ArrayList<>();
    Map<Job, BitSet> sentChunks = new LinkedHashMap<>();
    Set<String> keys = new LinkedHashSet<>();
    int room = context.layout().limits().transactionOps();
    long bytes = 0;
    for (SharedChunk sharedChunk : sharedChunks.values()) {
      if (!sharedChunk.dirty || room == 0 || bytes + sharedChunk.bytes > MOST_BYTES) {
        continue;
      }
      room--;
      bytes += sharedChunk.bytes;
      sharedChunk.dirty = false;
      sentSharedChunks.add(sharedChunk);
      Map<String, BitSet> done = new LinkedHashMap<>();
      for (Job otherJob : sharedChunk.jobs) {
        done.put(otherJob.uid(), otherJob.completedTasks());
        snapshots.put(otherJob, (BitSet) otherJob.completedTasks().clone());
      }
      String key = JobStore.sharedChunkKey(sharedChunk.number);
      keys.add(key);
      transaction
          .require(key, revisions.getOrDefault(key, 0L))
          .put(key, context.layout().sharedChunk(done));
    }
    for (Map.Entry<Job, BitSet> entry : dirty.entrySet()) {
      Job job = entry.getKey();
      int each =
          Math.min(context.layout().valueBytes(), job.spec().taskCount() / TASKS_PER_BYTE + 100);
      BitSet written = new BitSet();
      for (int first = entry.getValue().nextSetBit(0);
          first >= 0 && room > 0 && bytes + each <= MOST_BYTES;
          first = entry.getValue().nextSetBit(first + 1)) {
        room--;
        bytes += each;
        written.set(first);
        String key = JobStore.progressKey(job.uid(), first);
        keys.add(key);
        keysOf.computeIfAbsent(job, j -> new LinkedHashSet<>()).add(key);
        transaction
            .require(key, revisions.getOrDefault(key, 0L))
            .put(key, context.layout().chunk(job.completedTasks(), first, tasksPerChunk));
        BitSet part = job.completedTasks().get(first, first + tasksPerChunk);
        int from = first;
        BitSet snapshot = snapshots.computeIfAbsent(job, j -> new BitSet());
        part.stream().forEach(t -> snapshot.set(from + t));
      }
      if (!written.isEmpty()) {
        sentChunks.put(job, written);
      }
    }
    List<String> dropped = new ArrayList<>();
    while (room > 0 && !unknownMachines.isEmpty()) {
      // Of a job that has ended for good: whatever is written there is of no use.
      room--;
      dropped.add(unknownMachines.poll());
      transaction.drop(dropped.get(dropped.size() - 1));
    }
    if (transaction.changes() == 0) {
      return pause;
    }
    sentChunks.forEach((job, written) -> dirty.get(job).andNot(written));
    dirty.values().removeIf(BitSet::isEmpty);
    writing = true;
    context
        .store()
        .transaction(
            transaction,
            StateClient.RequestPriority.ORDINARY,
            result -> {
              if (result.applied()) {
                writing = false;
                keys.forEach(k -> revisions.put(k, result.revision()));
                snapshots.forEach((job, bits) -> job.storedTasks().or(bits));
                return;
              }
              sentSharedChunks.forEach(p -> p.dirty = true);
              sentChunks.forEach(
                  (job, chunks) -> dirty.computeIfAbsent(job, j -> new BitSet()).or(chunks));
              unknownMachines.addAll(dropped);
              if (result.outcome() == Transaction.Outcome.REFUSED) {
                writing = false;
              } else {
                // It may have been carried out, or may be yet: the next write is guarded by what is
                // there now.
                reread(new ArrayDeque<>(keys));
              }
            });
    boolean more =
        !dirty.isEmpty()
            || !unknownMachines.isEmpty()
            || sharedChunks.values().stream().anyMatch(p -> p.dirty);
    return more ? pause / 8 : pause;
  }

  private void reread(ArrayDeque<String> keys) {
    String key = keys.poll();
    if (key == null || closed) {
      writing = false;
      return;
    }
    context
        .store()
        .get(
            key,
            StateClient.RequestPriority.ORDINARY,
            got -> {
              if (got.found()) {
                revisions.put(key, got.item().revision());
              } else if (got.missing()) {
                revisions.remove(key);
              }
              reread(keys);
            });
  }

  /** Limits may have fallen: what does not fit any more is cut up anew. */
  private void fitLimits() {
    if (context.layout().tasksPerChunk() < tasksPerChunk) {
      tasksPerChunk = context.layout().tasksPerChunk();
      Set<Job> large = new LinkedHashSet<>(dirty.keySet());
      large.addAll(keysOf.keySet());
      dirty.clear();
      large.stream()
          .filter(j -> !j.over())
          .forEach(j -> j.completedTasks().stream().forEach(t -> dirtyChunk(j, t)));
    }
    for (SharedChunk sharedChunk : List.copyOf(sharedChunks.values())) {
      if (sharedChunk.bytes <= context.layout().sharedChunkBytes()) {
        continue;
      }
      List<Job> kept = new ArrayList<>(sharedChunk.jobs);
      sharedChunk.jobs.clear();
      sharedChunk.bytes = 0;
      List<Job> moved = new ArrayList<>();
      for (Job job : kept) {
        sharedChunkOf.remove(job);
        int bytes = context.layout().bytesInSharedChunk(job.spec());
        if (bytes >= 0 && sharedChunk.bytes + bytes <= context.layout().sharedChunkBytes()) {
          enter(sharedChunk, job);
        } else {
          moved.add(job);
        }
      }
      sharedChunk.dirty = true;
      moved.forEach(this::keep);
    }
  }

  private void forgetEnded() {
    dirty.keySet().removeIf(Job::over);
    keysOf
        .entrySet()
        .removeIf(
            e -> {
              if (e.getKey().over()) {
                unknownMachines.addAll(e.getValue());
              }
              return e.getKey().over();
            });
    for (SharedChunk sharedChunk : sharedChunks.values()) {
      sharedChunk.jobs.removeIf(
          j -> {
            if (j.over()) {
              sharedChunk.bytes -= JobStore.sizeInSharedChunk(j.spec());
              sharedChunkOf.remove(j);
            }
            return j.over();
          });
    }
  }

  public void close() {
    closed = true;
  }
}
