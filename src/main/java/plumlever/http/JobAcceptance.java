package plumlever.http;

import plumlever.store.DependencyLists;
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.HttpStatus;
import plumlever.wire.JobSpec;
import plumlever.wire.JobState;

/**
 * Accepts jobs. Accepted means stored: 201 is answered only once the transaction that creates the
 * record has been applied.
 */
final class JobAcceptance {
  private static final int MAX_ATTEMPTS = 4;
  private static final long RETRY_PAUSE_MICROS = 150_000;

  /** A state service that answered so lately only refuses what is over its rate. */
  private static final long RECENTLY_SERVED_MICROS = 500_000;

  private final JobServices jobs;
  private final JobAnswers answers;
  private final DependencyLists lists;

  JobAcceptance(JobServices jobs, JobAnswers answers) {
    this.jobs = jobs;
    this.answers = answers;
    this.lists = new DependencyLists(jobs.loop(), jobs.store(), jobs.layout());
  }

  /** Stores the names that do not fit the job's record, then accepts it. */
  void acceptWithList(JobSpec spec, JobStore.Acceptance records, UserRequest request) {
    if (records.hasList()) {
      // Nothing is stored for the repeat of a known job, whose list may be another or removed.
      answers.answerKnown(spec.uid(), request, () -> storeList(spec, records, request));
    } else {
      accept(spec, records.transaction(), request);
    }
  }

  private void storeList(JobSpec spec, JobStore.Acceptance records, UserRequest request) {
    lists.store(
        records,
        anchorRevision -> {
          if (anchorRevision.isPresent()) {
            accept(spec, records.anchoredAt(anchorRevision.getAsLong()), request);
          } else {
            answers.unavailable(request);
          }
        });
  }

  /**
   * Accepts the job.
   *
   * @param transaction creates the job's record
   */
  void accept(JobSpec spec, Transaction transaction, UserRequest request) {
    accept(spec, transaction, request, MAX_ATTEMPTS);
  }

  private void accept(
      JobSpec spec, Transaction transaction, UserRequest request, int attemptsLeft) {
    jobs.store()
        .transaction(
            transaction,
            StateClient.RequestPriority.ORDINARY,
            result -> {
              switch (result.outcome()) {
                case APPLIED -> answerAccepted(spec, result.revision(), request);
                // Without an answer it is not known either whether this request or an earlier one
                // made the record.
                case CONFLICT, UNKNOWN -> answerFromRecord(spec.uid(), request);
                case REFUSED -> {
                  if (attemptsLeft > 1 && recentlyServed()) {
                    jobs.loop()
                        .after(
                            RETRY_PAUSE_MICROS,
                            () -> accept(spec, transaction, request, attemptsLeft - 1));
                  } else {
                    answers.unavailable(request);
                  }
                }
              }
            });
  }

  private boolean recentlyServed() {
    return jobs.loop().nowMicros() - jobs.store().lastServedMicros() < RECENTLY_SERVED_MICROS;
  }

  private void answerAccepted(JobSpec spec, long revision, UserRequest request) {
    jobs.metrics().count("jobs_accepted");
    if (!spec.hasDependencies()) {
      jobs.records().jobAccepted(spec.uid(), revision);
      request.send(HttpStatus.CREATED, JobAnswers.body(spec.uid(), JobState.PENDING));
      return;
    }
    jobs.records()
        .dependentJobAccepted(
            spec.uid(),
            revision,
            spec.dependencies(),
            status -> {
              if (status.found()) {
                request.send(HttpStatus.CREATED, answers.describe(spec.uid(), status));
              } else {
                answers.unavailable(request);
              }
            });
  }

  /** The record decides; if it can't be read or is not there yet, the user asks again. */
  private void answerFromRecord(String uid, UserRequest request) {
    answers.answerKnown(uid, request, () -> answers.unavailable(request));
  }
}
