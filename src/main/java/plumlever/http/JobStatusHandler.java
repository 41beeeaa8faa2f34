package plumlever.http;

import plumlever.wire.ForwardedRequest;
import plumlever.wire.HttpStatus;
import plumlever.wire.ProtocolPath;

/** Handles status requests for jobs. */
final class JobStatusHandler {
  private final JobRequestAdmission admission;
  private final JobResponses responses;

  JobStatusHandler(JobRequestAdmission admission, JobResponses responses) {
    this.admission = admission;
    this.responses = responses;
  }

  void poll(String uid, Responder out) {
    ForwardedRequest request =
        new ForwardedRequest("GET", ProtocolPath.SUBMISSIONS + "/" + uid, "");
    admission.admit("poll", uid, request, out).ifPresent(admitted -> respond(uid, admitted));
  }

  private void respond(String uid, UserRequest request) {
    responses.respondIfKnown(
        uid, request, () -> request.error(HttpStatus.NOT_FOUND, JobResponses.NO_SUCH_JOB));
  }
}
