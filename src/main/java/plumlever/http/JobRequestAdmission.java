package plumlever.http;

import java.util.Optional;
import plumlever.store.JobRecordCache;
import plumlever.wire.ForwardedRequest;
import plumlever.wire.HttpStatus;
import plumlever.wire.JobSpec;
import plumlever.wire.JobState;

/**
 * Admits requests for a single job (status and cancellation). Responds at once to a request whose
 * response needs no read of the state service.
 */
record JobRequestAdmission(JobRecordCache records, RequestAdmission admission) {
  /**
   * @param kind prefix of the names of the metrics for these requests
   * @return the admitted request; empty if a response has been sent: the id is invalid, the job's
   *     final state is known, or the request was not admitted
   */
  Optional<UserRequest> admit(String kind, String uid, ForwardedRequest request, Responder out) {
    if (!JobSpec.validUid(uid)) {
      out.error(HttpStatus.NOT_FOUND, JobResponses.NO_SUCH_JOB);
      return Optional.empty();
    }
    Optional<JobState> ended = records.cachedFinalState(uid);
    if (ended.isPresent()) {
      out.send(HttpStatus.OK, JobResponses.body(uid, ended.get()));
      return Optional.empty();
    }
    return admission.admit(kind, request, out);
  }
}
