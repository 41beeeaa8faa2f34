package plumlever.leader.job;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.wire.InvalidMessageException;

/**
 * The progress records as earlier leaders left them. Finished tasks are marked in the jobs; which
 * record holds which job, and each record's revision, is kept for whoever writes them next.
 */
public final class StoredProgress {
  private final Logger log;
  private final TermContext context;
  private final Map<String, Job> activeJobs;
  private final Map<Job, Integer> sharedChunkNumbers = new HashMap<>();
  private final Map<String, Long> sharedChunkRevisions = new HashMap<>();
  private final Map<Job, Map<String, Long>> chunkRevisions = new HashMap<>();
  private final List<String> orphanedKeys = new ArrayList<>();

  StoredProgress(TermContext context, Map<String, Job> activeJobs) {
    this.context = context;
    this.log = context.logs().of(StoredProgress.class);
    this.activeJobs = activeJobs;
  }

  /** The number of the shared chunk in which the progress of each small job was found. */
  public Map<Job, Integer> sharedChunkNumbers() {
    return Collections.unmodifiableMap(sharedChunkNumbers);
  }

  /** The revision of each shared chunk, by its key. */
  public Map<String, Long> sharedChunkRevisions() {
    return Collections.unmodifiableMap(sharedChunkRevisions);
  }

  /** For each large job the revisions of its chunks, by their keys. */
  public Map<Job, Map<String, Long>> chunkRevisions() {
    return Collections.unmodifiableMap(chunkRevisions);
  }

  /** Keys of chunks whose job has ended; they are to be dropped. */
  public List<String> orphanedKeys() {
    return Collections.unmodifiableList(orphanedKeys);
  }

  /** Reads one record; the active jobs must be known. */
  void read(StateClient.Item item) {
    int sharedChunk = JobStore.sharedChunkOf(item.key());
    if (sharedChunk >= 0) {
      readSharedChunk(item, sharedChunk);
    } else {
      readChunk(item);
    }
  }

  private void readSharedChunk(StateClient.Item item, int number) {
    sharedChunkRevisions.put(item.key(), item.revision());
    JobStore.readSharedChunk(item.data())
        .forEach(
            (uid, done) -> {
              Job job = activeJobs.get(uid);
              if (job != null) {
                job.storedTasks().or(done);
                markStoredDone(job);
                sharedChunkNumbers.put(job, number);
              }
            });
  }

  private void readChunk(StateClient.Item item) {
    String jobAndFirstTask = item.key().substring(JobStore.PROGRESS.length());
    int slash = jobAndFirstTask.lastIndexOf('/');
    Job job = slash < 0 ? null : activeJobs.get(jobAndFirstTask.substring(0, slash));
    if (job == null) {
      // Left by a job that ended with more chunks than one transaction drops, or written late.
      context.metrics().count("orphaned_progress_records");
      orphanedKeys.add(item.key());
      return;
    }
    chunkRevisions
        .computeIfAbsent(job, j -> new LinkedHashMap<>())
        .put(item.key(), item.revision());
    try {
      context
          .layout()
          .readProgressChunk(item.data(), jobAndFirstTask.substring(slash + 1), job.storedTasks());
      markStoredDone(job);
    } catch (InvalidMessageException e) {
      log.warn("{} can't be read and counts as no progress: {}", item.key(), e.getMessage());
    }
  }

  private static void markStoredDone(Job job) {
    job.storedTasks().stream().forEach(job::markCompleted);
  }
}
