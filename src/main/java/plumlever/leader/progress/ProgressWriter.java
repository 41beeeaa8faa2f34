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
 * Stores finished tasks in batches, and the end of a job at once. Small jobs share records, since
 * the state service limits changes most. Losing stored progress is safe: a completed task that is
 * started again ends at once. Still each record is guarded by its own revision, so that a write
 * that is executed late undoes nothing, and there is one write at a time.
 */
public final class ProgressWriter {
  /** While more has to be written the pause between writes is shorter by this factor. */
  private static final int BACKLOG_SPEED_UP = 8;

  private final TermContext context;
  private final ActiveJobs jobs;
  private final RecordRevisions revisions;
  private final SharedChunks sharedChunks;
  private final LargeJobChunks largeJobs;
  private final JobCompletion completion;

  /** Records of jobs that have ended, to be dropped. */
  private final ArrayDeque<String> orphanedKeys = new ArrayDeque<>();

  private boolean writing;
  private boolean closed;

  /** Writes the progress of these jobs. */
  public ProgressWriter(TermContext context, ActiveJobs jobs) {
    this.context = context;
    this.jobs = jobs;
    this.revisions = new RecordRevisions(context);
    this.sharedChunks = new SharedChunks(context);
    this.largeJobs = new LargeJobChunks(context);
    this.completion = new JobCompletion(context, jobs, largeJobs, orphanedKeys);
  }

  /**
   * Takes over the records as earlier leaders left them. Jobs that an earlier limit let share one
   * record may not fit it any more: these are written to others, and until then the record stays as
   * it is.
   */
  public void takeOverStoredProgress() {
    StoredProgress found = jobs.storedProgress();
    revisions.putAll(found.sharedChunkRevisions());
    found
        .chunkRevisions()
        .forEach(
            (job, chunks) -> {
              revisions.putAll(chunks);
              largeJobs.takeOver(job, chunks.keySet());
            });
    orphanedKeys.addAll(found.orphanedKeys());
    List<Job> oversized = new ArrayList<>();
    found
        .sharedChunkNumbers()
        .forEach(
            (job, number) -> {
              if (!sharedChunks.takeOver(job, number)) {
                oversized.add(job);
              }
            });
    oversized.forEach(this::assign);
  }

  /** Has all the job's finished tasks written, in a shared record if it is small enough. */
  private void assign(Job job) {
    if (sharedChunks.mayHold(job)) {
      sharedChunks.add(job);
    } else {
      largeJobs.markAllDirty(job);
    }
  }

  /** Has the finished task stored with the next write, or the job's end if it was the last. */
  public void taskDone(Job job, int task) {
    if (job.complete()) {
      largeJobs.markComplete(job);
      completion.complete(job);
    } else if (!sharedChunks.markDirty(job)) {
      if (sharedChunks.mayHold(job)) {
        sharedChunks.add(job);
      } else {
        largeJobs.markDirty(job, task);
      }
    }
  }

  /**
   * Writes as much as one transaction takes, the oldest first.
   *
   * @return microseconds until this should be called next
   */
  public long write() {
    long pauseMicros = context.parameters().progressPauseMicros();
    removeEnded();
    fitLimits();
    if (writing || closed) {
      return pauseMicros;
    }
    ProgressWrite write = new ProgressWrite(context, revisions);
    sharedChunks.addTo(write);
    largeJobs.addTo(write);
    dropOrphaned(write);
    if (write.isEmpty()) {
      return pauseMicros;
    }
    send(write);
    return hasBacklog() ? pauseMicros / BACKLOG_SPEED_UP : pauseMicros;
  }

  private void removeEnded() {
    largeJobs.removeEnded(orphanedKeys);
    sharedChunks.removeEnded();
  }

  /** Limits may have fallen: records that would be too large now are divided. */
  private void fitLimits() {
    largeJobs.fitLimit();
    sharedChunks.splitOversized(this::assign);
  }

  private void dropOrphaned(ProgressWrite write) {
    List<String> dropped = new ArrayList<>();
    while (write.mayDrop() && !orphanedKeys.isEmpty()) {
      String key = orphanedKeys.poll();
      dropped.add(key);
      write.drop(key);
    }
    write.onFailure(() -> orphanedKeys.addAll(dropped));
  }

  private void send(ProgressWrite write) {
    writing = true;
    context
        .store()
        .transaction(
            write.transaction(),
            StateClient.RequestPriority.ORDINARY,
            result -> {
              if (result.applied()) {
                write.applied(result.revision());
                writing = false;
                return;
              }
              write.failed();
              if (result.outcome() == Transaction.Outcome.REFUSED) {
                writing = false;
              } else {
                // It may have been executed, or may be yet: the next write is guarded by what is
                // there now.
                revisions.refresh(write.keys(), () -> writing = false);
              }
            });
  }

  private boolean hasBacklog() {
    return largeJobs.isDirty() || !orphanedKeys.isEmpty() || sharedChunks.isDirty();
  }

  /** Stops writing; what is not stored is found out by the next leader. */
  public void close() {
    closed = true;
    revisions.close();
    completion.close();
  }
}
