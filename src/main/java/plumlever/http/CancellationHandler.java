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
  private final JobAnswers answers;
  private final Consumer<String> cancelled;

  /**
   * @param cancelled receives the id of each job for which a user gets a response that confirms the
   *     cancellation
   */
  CancellationHandler(
      JobServices jobs,
      JobRequestAdmission admission,
      JobAnswers answers,
      Consumer<String> cancelled) {
    this.jobs = jobs;
    this.admission = admission;
    this.answers = answers;
    this.cancelled = cancelled;
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
                    answers.answerElsewhere(
                        uid,
                        request,
                        () -> request.error(HttpStatus.NOT_FOUND, JobAnswers.NO_SUCH_JOB));
                case UNAVAILABLE -> answers.unavailable(request);
                case ENDED -> answerEnded(uid, status, request);
                case ACTIVE -> {
                  if (attemptsLeft == 0) {
                    answers.unavailable(request);
                  } else {
                    storeEnd(uid, status.revision(), request, attemptsLeft);
                  }
                }
              }
            });
  }

  private void answerEnded(String uid, JobRecordCache.JobStatus ended, UserRequest request) {
    if (ended.endState().equals(Optional.of(JobState.CANCELLED))) {
      cancelled.accept(uid);
    }
    request.send(HttpStatus.OK, answers.describe(uid, ended));
  }

  private void storeEnd(String uid, long revision, UserRequest request, int attemptsLeft) {
    jobs.store()
        .transaction(
            jobs.layout()
                .endJob(uid, revision, JobState.CANCELLED, jobs.loop().wallMicros(), List.of()),
            StateClient.RequestPriority.URGENT,
            result -> {
              switch (result.outcome()) {
                case APPLIED -> answerCancelled(uid, request);
                case REFUSED -> answers.unavailable(request);
                // The outcome is a conflict or unknown: read the record again, because the stored
                // state decides.
                default -> cancel(uid, request, attemptsLeft - 1);
              }
            });
  }

  private void answerCancelled(String uid, UserRequest request) {
    jobs.records().jobEnded(uid, JobState.CANCELLED);
    jobs.metrics().count("jobs_cancelled");
    cancelled.accept(uid);
    request.send(HttpStatus.OK, JobAnswers.body(uid, JobState.CANCELLED));
  }
}
