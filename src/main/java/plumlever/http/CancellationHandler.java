package plumlever.http;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import plumlever.store.JobRecordCache;
import plumlever.store.StateClient;
import plumlever.wire.ForwardedRequest;
import plumlever.wire.HttpStatus;
import plumlever.wire.JobState;
import plumlever.wire.ProtocolPath;

/**
 * Cancels jobs. If a cancellation races with the completion of the last task, the stored state
 * decides.
 */
final class CancellationHandler {
  private static final int MAX_ATTEMPTS = 4;

  private final JobServices jobs;
  private final JobRequestAdmission admission;
  private final JobResponses responses;
  private final Consumer<String> onCancelled;

  /**
   * @param onCancelled receives the id of each job whose cancellation has been confirmed to a user
   */
  CancellationHandler(
      JobServices jobs,
      JobRequestAdmission admission,
      JobResponses responses,
      Consumer<String> onCancelled) {
    this.jobs = jobs;
    this.admission = admission;
    this.responses = responses;
    this.onCancelled = onCancelled;
  }

  void cancel(String uid, Responder out) {
    ForwardedRequest request =
        new ForwardedRequest(
            "POST", ProtocolPath.SUBMISSIONS + "/" + uid + ProtocolPath.CANCEL_SUFFIX, "");
    admission
        .admit("cancel", uid, request, out)
        .ifPresent(admitted -> cancel(uid, admitted, MAX_ATTEMPTS));
  }

  private void cancel(String uid, UserRequest request, int attemptsLeft) {
    jobs.records()
        .lookUp(
            uid,
            status -> {
              switch (status.presence()) {
                case MISSING ->
                    responses.respondFromOtherShard(
                        uid,
                        request,
                        () -> request.error(HttpStatus.NOT_FOUND, JobResponses.NO_SUCH_JOB));
                case UNAVAILABLE -> responses.respondUnavailable(request);
                case ENDED -> respondEnded(uid, status, request);
                case ACTIVE -> {
                  if (attemptsLeft == 0) {
                    responses.respondUnavailable(request);
                  } else {
                    storeCancellation(uid, status.revision(), request, attemptsLeft);
                  }
                }
              }
            });
  }

  private void respondEnded(String uid, JobRecordCache.JobStatus ended, UserRequest request) {
    if (ended.finalState().equals(Optional.of(JobState.CANCELLED))) {
      onCancelled.accept(uid);
    }
    request.send(HttpStatus.OK, responses.statusBody(uid, ended));
  }

  private void storeCancellation(String uid, long revision, UserRequest request, int attemptsLeft) {
    jobs.store()
        .transaction(
            jobs.recordLayout()
                .endJob(uid, revision, JobState.CANCELLED, jobs.loop().wallMicros(), List.of()),
            StateClient.RequestPriority.URGENT,
            result -> {
              switch (result.outcome()) {
                case APPLIED -> respondCancelled(uid, request);
                case REFUSED -> responses.respondUnavailable(request);
                // The cancellation conflicted with another change of the job, or its outcome is
                // unknown. Read the job's record again, because the stored state decides.
                default -> cancel(uid, request, attemptsLeft - 1);
              }
            });
  }

  private void respondCancelled(String uid, UserRequest request) {
    jobs.records().jobEnded(uid, JobState.CANCELLED);
    jobs.metrics().count("jobs_cancelled");
    onCancelled.accept(uid);
    request.send(HttpStatus.OK, JobResponses.body(uid, JobState.CANCELLED));
  }
}
