package plumlever.http;

import plumlever.store.DependencyLists;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.HttpStatus;
import plumlever.wire.JobSpec;
import plumlever.wire.JobState;

/**
 * Accepts jobs. Responds with status 201 only after the transaction that creates the job's record
 * has been applied.
 */
final class JobAcceptance {
  private static final int MAX_ATTEMPTS = 4;
  private static final long RETRY_PAUSE_MICROS = 150_000;

  /**
   * A refused transaction is retried if the state service has responded within this time before,
   * because the refusal is then taken to mean that the request rate was exceeded.
   */
  private static final long RECENTLY_SERVED_MICROS = 500_000;

  private final JobServices jobs;
  private final JobResponses responses;
  private final DependencyLists dependencyLists;

  JobAcceptance(JobServices jobs, JobResponses responses) {
    this.jobs = jobs;
    this.responses = responses;
    this.dependencyLists = new DependencyLists(jobs.loop(), jobs.store(), jobs.recordLayout());
  }

  /**
   * Accepts the job. Dependencies that do not fit into the job's record are first stored in a
   * separate dependency list.
   */
  void acceptWithDependencyList(
      JobSpec spec, RecordLayout.Acceptance records, UserRequest request) {
    if (records.hasDependencyList()) {
      // Check first whether the job is already known. If so, no dependency list must be stored,
      // because the stored one may differ or may have been removed.
      responses.respondIfKnown(
          spec.uid(), request, () -> storeDependencyList(spec, records, request));
    } else {
      accept(spec, records.transaction(), request);
    }
  }

  private void storeDependencyList(
      JobSpec spec, RecordLayout.Acceptance records, UserRequest request) {
    dependencyLists.store(
        records,
        anchorRevision -> {
          if (anchorRevision.isPresent()) {
            accept(spec, records.requireAnchor(anchorRevision.getAsLong()), request);
          } else {
            responses.respondUnavailable(request);
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
                case APPLIED -> respondAccepted(spec, result.revision(), request);
                // An earlier request or, if the outcome is unknown, this request may have created
                // the job's record. Respond with what a read of the record shows.
                case CONFLICT, UNKNOWN -> respondFromRecord(spec.uid(), request);
                case REFUSED -> {
                  if (attemptsLeft > 1 && recentlyServed()) {
                    jobs.loop()
                        .after(
                            RETRY_PAUSE_MICROS,
                            () -> accept(spec, transaction, request, attemptsLeft - 1));
                  } else {
                    responses.respondUnavailable(request);
                  }
                }
              }
            });
  }

  private boolean recentlyServed() {
    return jobs.loop().nowMicros() - jobs.store().lastServedMicros() < RECENTLY_SERVED_MICROS;
  }

  private void respondAccepted(JobSpec spec, long revision, UserRequest request) {
    jobs.metrics().count("jobs_accepted");
    if (!spec.hasDependencies()) {
      jobs.records().jobAccepted(spec.uid(), revision);
      request.send(HttpStatus.CREATED, JobResponses.body(spec.uid(), JobState.PENDING));
      return;
    }
    jobs.records()
        .dependentJobAccepted(
            spec.uid(),
            revision,
            spec.dependencies(),
            status -> {
              if (status.found()) {
                request.send(HttpStatus.CREATED, responses.statusBody(spec.uid(), status));
              } else {
                responses.respondUnavailable(request);
              }
            });
  }

  /**
   * Responds with the state in the job's record. If the record can't be read or does not exist, the
   * user has to retry.
   */
  private void respondFromRecord(String uid, UserRequest request) {
    responses.respondIfKnown(uid, request, () -> responses.respondUnavailable(request));
  }
}
