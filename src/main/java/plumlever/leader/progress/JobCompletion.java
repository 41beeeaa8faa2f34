package plumlever.leader.progress;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.leader.job.ActiveJobs;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.JobState;

/**
 * Stores the final state of complete jobs without delay, because users expect to read the final
 * state within seconds of the last task. The write is retried until it succeeds or until the final
 * state stored by another controller has been read.
 */
final class JobCompletion {
  private static final long RETRY_MICROS = 300_000;

  private final Logger log;
  private final TermContext context;
  private final ActiveJobs jobs;
  private final LargeJobChunks largeJobs;
  private final Collection<String> orphanedKeys;
  private final Set<Job> inProgress = new LinkedHashSet<>();
  private boolean closed;

  /**
   * Creates a writer of final states; no job is being completed yet.
   *
   * @param orphanedKeys receives the keys of records that do not fit into the transaction that
   *     stores the final state
   */
  JobCompletion(
      TermContext context,
      ActiveJobs jobs,
      LargeJobChunks largeJobs,
      Collection<String> orphanedKeys) {
    this.context = context;
    this.log = context.loggerProvider().of(JobCompletion.class);
    this.jobs = jobs;
    this.largeJobs = largeJobs;
    this.orphanedKeys = orphanedKeys;
  }

  /**
   * Stores the final state of a job whose tasks are all done, unless its final state is already
   * being written.
   */
  void complete(Job job) {
    if (inProgress.add(job)) {
      storeFinalState(job);
    }
  }

  private void storeFinalState(Job job) {
    if (closed || job.hasEnded()) {
      inProgress.remove(job);
      return;
    }
    List<String> records = largeJobs.keysOf(job);
    int deletedCount = Math.min(records.size(), context.recordLayout().maxDeletesAtEnd());
    Transaction transaction =
        context
            .recordLayout()
            .endJob(
                job.uid(),
                job.revision(),
                JobState.DONE,
                context.loop().wallMicros(),
                records.subList(0, deletedCount));
    context
        .store()
        .transaction(
            transaction,
            StateClient.RequestPriority.URGENT,
            result -> {
              switch (result.outcome()) {
                case APPLIED ->
                    finalStateStored(job, records.subList(deletedCount, records.size()));
                case CONFLICT -> readFinalState(job);
                default -> retryLater(job);
              }
            });
  }

  private void finalStateStored(Job job, List<String> recordsLeft) {
    context.metrics().count("jobs_done");
    log.debug("job {} is done, final state stored", job.uid());
    orphanedKeys.addAll(recordsLeft);
    largeJobs.remove(job);
    finish(job, JobState.DONE);
  }

  private void retryLater(Job job) {
    context.loop().after(RETRY_MICROS, () -> storeFinalState(job));
  }

  /**
   * Reads the stored final state of the job after the transaction that was to store it found a
   * final state already stored. It was stored by another controller, or by an earlier write of this
   * leader whose response was lost.
   */
  private void readFinalState(Job job) {
    context
        .store()
        .get(
            RecordLayout.endedKey(job.uid()),
            StateClient.RequestPriority.URGENT,
            result -> {
              Optional<JobState> finalState =
                  result.found() ? RecordLayout.finalState(result.item().data()) : Optional.empty();
              finalState.ifPresentOrElse(state -> finish(job, state), () -> retryLater(job));
            });
  }

  private void finish(Job job, JobState finalState) {
    inProgress.remove(job);
    jobs.jobEnded(job.uid(), finalState);
  }

  void close() {
    closed = true;
  }
}
