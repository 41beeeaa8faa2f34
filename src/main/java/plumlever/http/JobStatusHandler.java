package plumlever.http;

import plumlever.wire.ForwardedRequest;
import plumlever.wire.HttpStatus;
import plumlever.wire.ProtocolPath;

/** Handles status requests for jobs. */
final class JobStatusHandler {
  private final JobRequestAdmission admission;
  private final JobAnswers answers;

  JobStatusHandler(JobRequestAdmission admission, JobAnswers answers) {
    this.admission = admission;
    this.answers = answers;
  }

  void poll(String uid, Responder out) {
    ForwardedRequest request =
        new ForwardedRequest("GET", ProtocolPath.SUBMISSIONS + "/" + uid, "");
    admission.admit("poll", uid, request, out).ifPresent(admitted -> answer(uid, admitted));
  }

  private void answer(String uid, UserRequest request) {
    answers.answerKnown(
        uid, request, () -> request.error(HttpStatus.NOT_FOUND, JobAnswers.NO_SUCH_JOB));
  }
}
