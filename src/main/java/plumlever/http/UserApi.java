package plumlever.http;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Users' requests. Every answer but a final state rests on a read of the state service begun after
 * the request came in, so any controller can give it; what can't be found out now is refused at
 * once, with the time to come back.
 */
public final class UserApi {
  private final SubmissionHandler submissions;
  private final JobStatusHandler statuses;
  private final CancellationHandler cancellations;

  /**
   * Answers users from these services.
   *
   * @param rules which submissions can be accepted
   * @param cancelled told the id of each job whose user is told that it is cancelled
   * @param counts finished and running tasks of a job, where they are known here
   * @param otherShards where the machines are a pool's: finds jobs of its other shards
   */
  public UserApi(
      JobServices jobs,
      SubmissionRules rules,
      ServingHealth health,
      Consumer<String> cancelled,
      Function<String, Optional<TaskCounts>> counts,
      Optional<JobForwarder> otherShards) {
    RequestAdmission admission = new RequestAdmission(jobs.loop(), jobs.metrics(), health);
    JobAnswers answers =
        new JobAnswers(jobs.records(), jobs.metrics(), health, counts, otherShards);
    JobRequestAdmission jobAdmission = new JobRequestAdmission(jobs.records(), admission);
    this.submissions = new SubmissionHandler(jobs, rules, admission, answers);
    this.statuses = new JobStatusHandler(jobAdmission, answers);
    this.cancellations = new CancellationHandler(jobs, jobAdmission, answers, cancelled);
  }

  /** Answers a submission: accepted once it is stored, refused, or to be repeated later. */
  public void submit(byte[] body, Responder out) {
    submissions.submit(body, out);
  }

  /** Answers how a job stands. */
  public void poll(String uid, Responder out) {
    statuses.poll(uid, out);
  }

  /** Cancels a job, unless it is done already. */
  public void cancel(String uid, Responder out) {
    cancellations.cancel(uid, out);
  }
}
