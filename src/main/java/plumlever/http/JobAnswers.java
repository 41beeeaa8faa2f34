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

/** Answers requests from what is stored of a job, here or in another shard. */
final class JobAnswers {
  static final String NO_SUCH_JOB = "no such job";

  private static final int RETRY_AFTER_S = 1;

  private final JobRecordCache records;
  private final Metrics metrics;
  private final ServingHealth health;
  private final Function<String, Optional<TaskCounts>> counts;
  private final Optional<JobForwarder> otherShards;

  JobAnswers(
      JobRecordCache records,
      Metrics metrics,
      ServingHealth health,
      Function<String, Optional<TaskCounts>> counts,
      Optional<JobForwarder> otherShards) {
    this.records = records;
    this.metrics = metrics;
    this.health = health;
    this.counts = counts;
    this.otherShards = otherShards;
  }

  /**
   * Answers with the job's state if it was ever accepted.
   *
   * @param whenUnknown answers for a job that was not
   */
  void answerKnown(String uid, UserRequest request, Runnable whenUnknown) {
    records.lookUp(
        uid,
        status -> {
          switch (status.presence()) {
            case ACTIVE, ENDED -> request.send(HttpStatus.OK, describe(uid, status));
            case MISSING -> answerElsewhere(uid, request, whenUnknown);
            case UNAVAILABLE -> unavailable(request);
          }
        });
  }

  /**
   * Has another shard answer if it has the job, which this shard has not.
   *
   * @param whenUnknown answers for a job that no shard has
   */
  void answerElsewhere(String uid, UserRequest request, Runnable whenUnknown) {
    if (otherShards.isEmpty() || request.isForwarded()) {
      whenUnknown.run();
      return;
    }
    JobForwarder forwarder = otherShards.get();
    forwarder.find(
        uid,
        location -> {
          if (location instanceof JobLocation.InShard found) {
            metrics.count("users_forwarded");
            forwarder.forward(found.shard(), request.request(), request);
          } else if (location instanceof JobLocation.Nowhere) {
            whenUnknown.run();
          } else {
            unavailable(request);
          }
        });
  }

  /**
   * A user's connection stays on its controller: one that alone can't answer must not keep its
   * users from those that can.
   */
  void unavailable(UserRequest request) {
    if (health.isRefusedAlone()) {
      metrics.count("users_sent_away");
      request.closeConnection();
    }
    request.retryLater(HttpStatus.UNAVAILABLE, "the state service can't be reached", RETRY_AFTER_S);
  }

  /** The answer's body for a job that was found. */
  String describe(String uid, JobRecordCache.JobStatus found) {
    if (found.endState().isPresent()) {
      return body(uid, found.endState().get());
    }
    Optional<TaskCounts> known = counts.apply(uid);
    boolean running = known.isPresent() && known.get().running() > 0;
    return body(uid, running ? JobState.RUNNING : JobState.PENDING, known);
  }

  /** The answer's body for a job in this state, without counts of its tasks. */
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
