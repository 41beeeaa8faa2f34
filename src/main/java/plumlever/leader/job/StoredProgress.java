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
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;
import plumlever.wire.InvalidMessageException;

/**
 * Reads the progress records that earlier leaders stored, and marks the finished tasks in their
 * jobs. The record that holds each job and the revision of each record are kept for the leader's
 * own writes.
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
    this.log = context.loggerProvider().of(StoredProgress.class);
    this.activeJobs = activeJobs;
  }

  /**
   * Returns, for each small job, the number of the shared chunk (one record for several small jobs)
   * that holds its progress.
   */
  public Map<Job, Integer> sharedChunkNumbers() {
    return Collections.unmodifiableMap(sharedChunkNumbers);
  }

  /**
   * Returns the revision of each shared chunk (one progress record for several small jobs) by key.
   */
  public Map<String, Long> sharedChunkRevisions() {
    return Collections.unmodifiableMap(sharedChunkRevisions);
  }

  /** Returns, for each large job, the revisions of its chunks (progress records) by key. */
  public Map<Job, Map<String, Long>> chunkRevisions() {
    return Collections.unmodifiableMap(chunkRevisions);
  }

  /** Returns the keys of progress records whose job has ended and which are to be deleted. */
  public List<String> orphanedKeys() {
    return Collections.unmodifiableList(orphanedKeys);
  }

  /** Reads one progress record; the active jobs must already be loaded. */
  void read(StateClient.Item item) {
    int sharedChunk = RecordLayout.sharedChunkNumber(item.key());
    if (sharedChunk >= 0) {
      readSharedChunk(item, sharedChunk);
    } else {
      readChunk(item);
    }
  }

  private void readSharedChunk(StateClient.Item item, int number) {
    sharedChunkRevisions.put(item.key(), item.revision());
    RecordLayout.readSharedChunk(item.data())
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
    String jobAndFirstTask = item.key().substring(RecordLayout.PROGRESS.length());
    int slash = jobAndFirstTask.lastIndexOf('/');
    Job job = slash < 0 ? null : activeJobs.get(jobAndFirstTask.substring(0, slash));
    if (job == null) {
      // The progress record has no active job: the job had more progress records than one
      // transaction can delete when it ended, or the record was written after the job had ended.
      context.metrics().count("orphaned_progress_records");
      orphanedKeys.add(item.key());
      return;
    }
    chunkRevisions
        .computeIfAbsent(job, j -> new LinkedHashMap<>())
        .put(item.key(), item.revision());
    try {
      context
          .recordLayout()
          .readProgressChunk(item.data(), jobAndFirstTask.substring(slash + 1), job.storedTasks());
      markStoredDone(job);
    } catch (InvalidMessageException e) {
      log.warn(
          "progress record {} is unreadable, its tasks count as not finished: {}",
          item.key(),
          e.getMessage());
    }
  }

  private static void markStoredDone(Job job) {
    job.storedTasks().stream().forEach(job::markCompleted);
  }
}
