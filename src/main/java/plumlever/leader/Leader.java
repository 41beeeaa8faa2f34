package plumlever.leader;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import plumlever.concurrent.Scope;
import plumlever.fleet.Job;
import plumlever.http.Responder;
import plumlever.http.TaskCounts;
import plumlever.leader.context.TermContext;
import plumlever.leader.heartbeat.DeferredHeartbeats;
import plumlever.leader.record.RecoveryRead;
import plumlever.wire.Heartbeat;
import plumlever.wire.JobState;
import plumlever.wire.RelayedHeartbeat;

/**
 * One term of leadership, from election until the leader leaves: reads what earlier leaders left,
 * then has the parts of the term work. All methods are called on the thread that decides. Until the
 * records are read, jobs are unknown here and heartbeats of machines with tasks wait.
 */
public final class Leader implements AutoCloseable {
  private final Logger log;
  private final TermContext context;
  private final Scope scope = new Scope();
  private final RecoveryRead records;
  private final DeferredHeartbeats early;
  private final TermParts parts;
  private boolean loaded;

  /** A leader for one term, which does nothing until it is started. */
  public Leader(TermContext context) {
    this.context = context;
    this.log = context.logs().of(Leader.class);
    this.records = new RecoveryRead(context);
    this.early = new DeferredHeartbeats(context.loop(), context.platform().socketLimit());
    this.parts = new TermParts(context, early);
  }

  /** True while this leader's own term lasts. */
  public boolean mayAct() {
    return context.term().mayAct();
  }

  /** Begins to read the records; the parts of the term start once that is done. */
  public void start() {
    records.read(this::begin);
  }

  private void begin(RecoveryRead found) {
    parts.load(found);
    loaded = true;
    parts.endCompleteJobs();
    log.info(
        "term {} begins with {} jobs and {} machines to account for, {} ms after election",
        context.term().number(),
        parts.jobs().all().size(),
        parts.failover().unaccounted().size(),
        (context.loop().nowMicros() - parts.failover().startedMicros()) / 1_000);
    early.release(this::heartbeat);
    parts.start(scope);
  }

  /** Answers a worker's heartbeat; the caller has checked that this controller leads. */
  public void heartbeat(Heartbeat heartbeat, Responder out) {
    parts.responder().respond(heartbeat, out);
  }

  /**
   * Gives a machine to another shard at an operator's wish.
   *
   * @return false if it is not one that can be given now
   */
  public boolean transfer(String machine, String shard) {
    return parts.sharing().offerTransfer(machine, shard);
  }

  /** Answers a heartbeat that another shard's leader passes on, for this shard's tasks. */
  public void relayedHeartbeat(RelayedHeartbeat relayed, Responder out) {
    parts.sharing().answerRelayed(relayed, out);
  }

  /** True once nothing that earlier leaders started is unknown. */
  public boolean failoverComplete() {
    return parts.failover().isComplete();
  }

  /** The job as this leader knows it, if it does. */
  public Optional<Job> job(String uid) {
    return loaded ? Optional.ofNullable(parts.jobs().get(uid)) : Optional.empty();
  }

  /** Finished and running tasks of a job for display, if it is known here. */
  public Optional<TaskCounts> taskCounts(String uid) {
    return job(uid).map(Leader::taskCounts);
  }

  /** Finished and running tasks of each job by its id, for display at other controllers. */
  public Map<String, TaskCounts> taskCounts() {
    Map<String, TaskCounts> counts = new LinkedHashMap<>();
    if (loaded) {
      parts.jobs().all().forEach(job -> counts.put(job.uid(), taskCounts(job)));
    }
    return counts;
  }

  private static TaskCounts taskCounts(Job job) {
    return new TaskCounts(job.completedCount(), job.liveAttemptCount());
  }

  /** The job's end is stored; its tasks are stopped without waiting for the watch events. */
  public void jobCancelled(String uid) {
    if (loaded) {
      parts.jobs().jobEnded(uid, JobState.CANCELLED);
    }
  }

  /** Advice of another controller, which may only stop more. */
  public void cancellationsConfirmed(Collection<String> uids) {
    if (loaded) {
      parts.jobs().cancellationsConfirmed(uids);
    }
  }

  /** Ends the term's work: nothing of it acts afterwards. */
  @Override
  public void close() {
    records.close();
    early.close();
    scope.close();
    // Also where the records were never read, so that the jobs are not in the scope.
    parts.jobs().close();
  }
}
