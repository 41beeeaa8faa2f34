package plumlever.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.Function;
import plumlever.metrics.Metrics;
import plumlever.store.JobRecordCache;
import plumlever.wire.HttpStatus;
import plumlever.wire.JobState;
import plumlever.wire.Json;
import plumlever.wire.ProtocolField;

/**
 * Sends responses that are based on the stored state of a job in this shard or in another shard.
 */
final class JobResponses {
  static final String NO_SUCH_JOB = "no such job";

  private static final int RETRY_AFTER_S = 1;

  private final JobRecordCache records;
  private final Metrics metrics;
  private final ServingHealth health;
  private final Function<String, Optional<TaskCounts>> counts;
  private final Optional<JobForwarder> jobForwarder;

  JobResponses(
      JobRecordCache records,
      Metrics metrics,
      ServingHealth health,
      Function<String, Optional<TaskCounts>> counts,
      Optional<JobForwarder> jobForwarder) {
    this.records = records;
    this.metrics = metrics;
    this.health = health;
    this.counts = counts;
    this.jobForwarder = jobForwarder;
  }

  /**
   * Responds with the state of the job if the job was ever accepted.
   *
   * @param whenUnknown called instead of a response if the job was never accepted
   */
  void respondIfKnown(String uid, UserRequest request, Runnable whenUnknown) {
    records.lookUp(
        uid,
        status -> {
          switch (status.presence()) {
            case ACTIVE, ENDED -> request.send(HttpStatus.OK, statusBody(uid, status));
            case MISSING -> respondFromOtherShard(uid, request, whenUnknown);
            case UNAVAILABLE -> respondUnavailable(request);
          }
        });
  }

  /**
   * Forwards the request to the other shard that has the job, which responds.
   *
   * @param whenUnknown called instead of a response if no other shard has the job, or if the
   *     request was itself forwarded
   */
  void respondFromOtherShard(String uid, UserRequest request, Runnable whenUnknown) {
    if (jobForwarder.isEmpty() || request.isForwarded()) {
      whenUnknown.run();
      return;
    }
    JobForwarder forwarder = jobForwarder.get();
    forwarder.find(
        uid,
        location -> {
          if (location instanceof JobLocation.InShard found) {
            metrics.count("users_forwarded");
            forwarder.forward(found.shard(), request.request(), request);
          } else if (location instanceof JobLocation.NotFound) {
            whenUnknown.run();
          } else {
            respondUnavailable(request);
          }
        });
  }

  /**
   * Responds that the state service is unavailable. If the state service refuses only this
   * controller, also closes the connection, so that the user's next requests go to another
   * controller.
   */
  void respondUnavailable(UserRequest request) {
    if (health.onlyThisControllerRefused()) {
      metrics.count("users_sent_away");
      request.closeConnection();
    }
    request.retryLater(
        HttpStatus.SERVICE_UNAVAILABLE, "the state service can't be reached", RETRY_AFTER_S);
  }

  /** The response body for a job that was found. */
  String statusBody(String uid, JobRecordCache.JobStatus found) {
    if (found.finalState().isPresent()) {
      return body(uid, found.finalState().get());
    }
    Optional<TaskCounts> known = counts.apply(uid);
    boolean running = known.isPresent() && known.get().running() > 0;
    return body(uid, running ? JobState.RUNNING : JobState.PENDING, known);
  }

  /** Returns the response body for a job in the given state, without task counts. */
  static String body(String uid, JobState state) {
    return body(uid, state, Optional.empty());
  }

  private static String body(String uid, JobState state, Optional<TaskCounts> counts) {
    ObjectNode object =
        Json.object().put(ProtocolField.JOB_ID, uid).put(ProtocolField.STATUS, state.wireName());
    counts.ifPresent(known -> object.put("done", known.done()).put("running", known.running()));
    return Json.write(object);
  }
}
