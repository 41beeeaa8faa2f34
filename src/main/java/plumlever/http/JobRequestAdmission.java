package plumlever.http;

import java.util.Optional;
import plumlever.store.JobRecordCache;
import plumlever.wire.ForwardedRequest;
import plumlever.wire.HttpStatus;
import plumlever.wire.JobSpec;
import plumlever.wire.JobState;

/** Admits requests about one job, and answers those at once that need no read. */
record JobRequestAdmission(JobRecordCache records, RequestAdmission admission) {
  /**
   * @param kind names the counters of such requests
   * @return nothing when it has been answered: no such id, an end that is known, or not admitted
   */
  Optional<UserRequest> admit(String kind, String uid, ForwardedRequest request, Responder out) {
    if (!JobSpec.validUid(uid)) {
      out.error(HttpStatus.NOT_FOUND, JobAnswers.NO_SUCH_JOB);
      return Optional.empty();
    }
    Optional<JobState> ended = records.knownEndState(uid);
    if (ended.isPresent()) {
      out.send(HttpStatus.OK, JobAnswers.body(uid, ended.get()));
      return Optional.empty();
    }
    return admission.admit(kind, request, out);
  }
}
