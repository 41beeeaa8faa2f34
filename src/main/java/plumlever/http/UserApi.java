package plumlever.http;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The API for user requests. Every response except for a final state is based on a read of the
 * state service that was sent after the request arrived, so every controller can respond. If the
 * state can't be read at the moment, the response is an immediate error with a Retry-After header.
 */
public final class UserApi {
  private final SubmissionHandler submissions;
  private final JobStatusHandler statuses;
  private final CancellationHandler cancellations;

  /**
   * Creates the API.
   *
   * @param rules rules for acceptable submissions
   * @param onCancelled receives the id of each job for which a user gets a response that confirms
   *     the cancellation
   * @param counts numbers of completed and running tasks of a job, if this controller knows them
   * @param jobForwarder finds jobs in the other shards, if the machines belong to a pool
   */
  public UserApi(
      JobServices jobs,
      SubmissionRules rules,
      ServingHealth health,
      Consumer<String> onCancelled,
      Function<String, Optional<TaskCounts>> counts,
      Optional<JobForwarder> jobForwarder) {
    RequestAdmission admission = new RequestAdmission(jobs.loop(), jobs.metrics(), health);
    JobResponses responses =
        new JobResponses(jobs.records(), jobs.metrics(), health, counts, jobForwarder);
    JobRequestAdmission jobAdmission = new JobRequestAdmission(jobs.records(), admission);
    this.submissions = new SubmissionHandler(jobs, rules, admission, responses);
    this.statuses = new JobStatusHandler(jobAdmission, responses);
    this.cancellations = new CancellationHandler(jobs, jobAdmission, responses, onCancelled);
  }

  /**
   * Handles a submission. The response says that the job has been stored and so accepted, that the
   * job is refused, or that the user has to submit the job again later.
   */
  public void submit(byte[] body, Responder out) {
    submissions.submit(body, out);
  }

  /** Responds with the status of a job. */
  public void poll(String uid, Responder out) {
    statuses.poll(uid, out);
  }

  /** Cancels a job that has not ended. */
  public void cancel(String uid, Responder out) {
    cancellations.cancel(uid, out);
  }
}
