package plumlever.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import plumlever.store.RecordLayout;
import plumlever.wire.ForwardedRequest;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;
import plumlever.wire.ProtocolField;
import plumlever.wire.ProtocolPath;

/**
 * Handles submissions: validates the job and has it accepted. A repeated submission of a known job
 * always gets the job's state, even if the repeated submission is invalid. A submission is
 * therefore refused only after a lookup has shown that the job is unknown.
 */
final class SubmissionHandler {
  private final JobServices jobs;
  private final SubmissionRules rules;
  private final RequestAdmission admission;
  private final JobResponses responses;
  private final JobAcceptance acceptance;

  SubmissionHandler(
      JobServices jobs, SubmissionRules rules, RequestAdmission admission, JobResponses responses) {
    this.jobs = jobs;
    this.rules = rules;
    this.admission = admission;
    this.responses = responses;
    this.acceptance = new JobAcceptance(jobs, responses);
  }

  void submit(byte[] body, Responder out) {
    ObjectNode object;
    String uid;
    try {
      object = Json.parseObject(body);
      uid = readUid(object);
    } catch (InvalidMessageException e) {
      SubmissionRefusal.invalid(e.getMessage()).respond(out);
      return;
    }
    ForwardedRequest request =
        new ForwardedRequest(
            "POST", ProtocolPath.SUBMISSIONS, new String(body, StandardCharsets.UTF_8));
    admission.admit("submit", request, out).ifPresent(admitted -> validate(uid, object, admitted));
  }

  private static String readUid(ObjectNode object) throws InvalidMessageException {
    String uid = Json.text(object, ProtocolField.JOB_ID);
    if (!JobSpec.validUid(uid)) {
      throw new InvalidMessageException("uid must be job- and digits");
    }
    return uid;
  }

  private void validate(String uid, ObjectNode object, UserRequest request) {
    JobSpec spec;
    try {
      spec = JobSpec.parse(object);
    } catch (InvalidMessageException e) {
      refuseIfUnknown(uid, request, SubmissionRefusal.invalid(e.getMessage()));
      return;
    }
    Optional<SubmissionRefusal> refusal = rules.refusal(spec);
    if (refusal.isPresent()) {
      refuseIfUnknown(uid, request, refusal.get());
      return;
    }
    Optional<RecordLayout.Acceptance> records =
        jobs.recordLayout().acceptJob(spec, jobs.loop().wallMicros());
    if (records.isEmpty()) {
      refuseIfUnknown(uid, request, SubmissionRefusal.invalid("the submission is too long"));
    } else if (spec.hasDependencies()) {
      checkDependencies(spec, records.get(), request);
    } else {
      acceptance.accept(spec, records.get().transaction(), request);
    }
  }

  private void refuseIfUnknown(String uid, UserRequest request, SubmissionRefusal refusal) {
    responses.respondIfKnown(uid, request, () -> refusal.respond(request));
  }

  /**
   * Refuses the job unless all of its dependencies were accepted. The transaction that stores the
   * job needs no precondition on the dependencies, because an accepted job stays accepted. A
   * concurrent cancellation of a dependency is found when the dependencies' records are read after
   * this job is stored.
   */
  private void checkDependencies(
      JobSpec spec, RecordLayout.Acceptance records, UserRequest request) {
    if (spec.dependencies().contains(spec.uid())) {
      refuseIfUnknown(
          spec.uid(),
          request,
          SubmissionRefusal.unprocessable(ProtocolField.DEPENDENCIES + " names the job itself"));
      return;
    }
    jobs.records()
        .findNeverAccepted(
            spec.dependencies(),
            unknown -> {
              if (unknown.isEmpty()) {
                responses.respondUnavailable(request);
              } else if (unknown.get().isEmpty()) {
                acceptance.acceptWithDependencyList(spec, records, request);
              } else {
                refuseUnknownDependency(spec.uid(), unknown.get().iterator().next(), request);
              }
            });
  }

  private void refuseUnknownDependency(String uid, String dependency, UserRequest request) {
    SubmissionRefusal refusal =
        SubmissionRefusal.unprocessable(
            ProtocolField.DEPENDENCIES + " names a job that was never accepted: " + dependency);
    responses.respondIfKnown(
        uid,
        request,
        () -> responses.respondFromOtherShard(dependency, request, () -> refusal.respond(request)));
  }
}
