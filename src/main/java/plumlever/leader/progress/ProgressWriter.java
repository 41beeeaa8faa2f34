package plumlever.leader.progress;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.leader.job.ActiveJobs;
import plumlever.leader.job.StoredProgress;
import plumlever.store.StateClient;
import plumlever.store.Transaction;

/**
 * Stores finished tasks in batches, and the final state of a job immediately. Small jobs share
 * progress records because the limit on changes is the tightest limit of the state service. Losing
 * stored progress is safe: a completed task that is started again ends immediately. Nevertheless
 * each record is guarded by its own revision, so that a delayed write cannot overwrite a newer one,
 * and only one write is in flight at a time.
 */
public final class ProgressWriter {
  /**
   * The pause between two writes of progress records is divided by this factor while more records
   * have to be written.
   */
  private static final int BACKLOG_SPEED_UP = 8;

  private final TermContext context;
  private final ActiveJobs jobs;
  private final RecordRevisions revisions;
  private final SharedChunks sharedChunks;
  private final LargeJobChunks largeJobs;
  private final JobCompletion completion;

  /** Keys of progress records to be deleted because their job has ended. */
  private final ArrayDeque<String> orphanedKeys = new ArrayDeque<>();

  private boolean writing;
  private boolean closed;

  /** Creates a writer for the progress of these jobs. */
  public ProgressWriter(TermContext context, ActiveJobs jobs) {
    this.context = context;
    this.jobs = jobs;
    this.revisions = new RecordRevisions(context);
    this.sharedChunks = new SharedChunks(context);
    this.largeJobs = new LargeJobChunks(context);
    this.completion = new JobCompletion(context, jobs, largeJobs, orphanedKeys);
  }

  /**
   * Takes over the progress records that earlier leaders stored. If the value size limit has
   * decreased, a shared record may no longer hold all of its jobs. The jobs that do not fit are
   * written to other records; the old record stays unchanged until then.
   */
  public void adoptStoredProgress() {
    StoredProgress found = jobs.storedProgress();
    revisions.putAll(found.sharedChunkRevisions());
    found
        .chunkRevisions()
        .forEach(
            (job, chunks) -> {
              revisions.putAll(chunks);
              largeJobs.adopt(job, chunks.keySet());
            });
    orphanedKeys.addAll(found.orphanedKeys());
    List<Job> oversized = new ArrayList<>();
    found
        .sharedChunkNumbers()
        .forEach(
            (job, number) -> {
              if (!sharedChunks.adopt(job, number)) {
                oversized.add(job);
              }
            });
    oversized.forEach(this::assign);
  }

  /**
   * Schedules all finished tasks of the job to be written, in a shared record if the job is small
   * enough.
   */
  private void assign(Job job) {
    if (sharedChunks.canShare(job)) {
      sharedChunks.add(job);
    } else {
      largeJobs.markAllDirty(job);
    }
  }

  /**
   * Schedules a finished task for the next write, or stores the job's final state if this was the
   * last task.
   */
  public void taskDone(Job job, int task) {
    if (job.complete()) {
      largeJobs.markComplete(job);
      completion.complete(job);
    } else if (!sharedChunks.markDirty(job)) {
      if (sharedChunks.canShare(job)) {
        sharedChunks.add(job);
      } else {
        largeJobs.markDirty(job, task);
      }
    }
  }

  /**
   * Writes as many changed progress records as fit into one transaction, oldest changes first.
   *
   * @return microseconds until the next call
   */
  public long write() {
    long pauseMicros = context.parameters().progressWriteIntervalMicros();
    removeEnded();
    enforceValueLimits();
    if (writing || closed) {
      return pauseMicros;
    }
    ProgressBatch batch = new ProgressBatch(context, revisions);
    sharedChunks.addTo(batch);
    largeJobs.addTo(batch);
    deleteOrphaned(batch);
    if (batch.isEmpty()) {
      return pauseMicros;
    }
    send(batch);
    return hasBacklog() ? pauseMicros / BACKLOG_SPEED_UP : pauseMicros;
  }

  private void removeEnded() {
    largeJobs.removeEnded(orphanedKeys);
    sharedChunks.removeEnded();
  }

  /** Splits progress records that exceed the value size limit, which may have decreased. */
  private void enforceValueLimits() {
    largeJobs.enforceValueLimit();
    sharedChunks.splitOversized(this::assign);
  }

  private void deleteOrphaned(ProgressBatch batch) {
    List<String> deleted = new ArrayList<>();
    while (batch.canDelete() && !orphanedKeys.isEmpty()) {
      String key = orphanedKeys.poll();
      deleted.add(key);
      batch.delete(key);
    }
    batch.onFailure(() -> orphanedKeys.addAll(deleted));
  }

  private void send(ProgressBatch batch) {
    writing = true;
    context
        .store()
        .transaction(
            batch.transaction(),
            StateClient.RequestPriority.ORDINARY,
            result -> {
              if (result.applied()) {
                batch.applied(result.revision());
                writing = false;
                return;
              }
              batch.failed();
              if (result.outcome() == Transaction.Outcome.REFUSED) {
                writing = false;
              } else {
                // The transaction may have been executed or may still be executed. The next write
                // must therefore be guarded by the record revisions that are stored now.
                revisions.refresh(batch.keys(), () -> writing = false);
              }
            });
  }

  private boolean hasBacklog() {
    return largeJobs.isDirty() || !orphanedKeys.isEmpty() || sharedChunks.isDirty();
  }

  /**
   * Stops all writes of progress. The next leader does not find the tasks that finished after the
   * last write in the records and has to determine them again.
   */
  public void close() {
    closed = true;
    revisions.close();
    completion.close();
  }
}
