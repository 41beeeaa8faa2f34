package plumlever.leader;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.concurrent.Scope;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.http.Responder;
import plumlever.http.TaskCounts;
import plumlever.leader.context.TermContext;
import plumlever.leader.heartbeat.DeferredHeartbeats;
import plumlever.leader.record.RecoveryRead;
import plumlever.lease.SettledCommands;
import plumlever.wire.Heartbeat;
import plumlever.wire.JobState;
import plumlever.wire.RelayedHeartbeat;

/**
 * One term of leadership, from the election until the controller no longer leads. The leader loads
 * the records of earlier leaders and then starts the components of the term. All methods are called
 * on the loop thread, which makes all decisions. Until the records are loaded, the leader knows no
 * jobs and defers the heartbeats of machines with tasks.
 */
public final class Leader implements AutoCloseable {
  /** More unsettled machines than this are not reported, so that the report stays short. */
  private static final int MAX_UNSETTLED_REPORTED = 200;

  private final Logger log;
  private final TermContext context;
  private final Scope scope = new Scope();
  private final RecoveryRead records;
  private final DeferredHeartbeats deferredHeartbeats;
  private final TermComponents components;
  private boolean loaded;

  /** Creates a leader for one term. The leader does nothing until it is started. */
  public Leader(TermContext context) {
    this.context = context;
    this.log = context.loggerProvider().of(Leader.class);
    this.records = new RecoveryRead(context);
    this.deferredHeartbeats =
        new DeferredHeartbeats(context.loop(), context.platform().maxFileDescriptors());
    this.components = new TermComponents(context, deferredHeartbeats);
  }

  /** Returns whether this leader's term is still valid. */
  public boolean mayAct() {
    return context.term().mayAct();
  }

  /** Starts to load the records; the components of the term start when the load is complete. */
  public void start() {
    records.read(this::onRecordsRead);
  }

  private void onRecordsRead(RecoveryRead recoveryRead) {
    components.load(recoveryRead);
    loaded = true;
    components.endCompleteJobs();
    log.info(
        "term {} (tokens from {}) started with {} jobs and {} machines not yet accounted for, {}"
            + " ms after the election",
        context.term().number(),
        Fleet.firstToken(context.term().number()),
        components.jobs().all().size(),
        components.failover().unaccounted().size(),
        (context.loop().nowMicros() - components.failover().startedMicros()) / 1_000);
    deferredHeartbeats.release(this::heartbeat);
    components.start(scope);
  }

  /** Answers a worker's heartbeat; the caller has checked that this controller leads. */
  public void heartbeat(Heartbeat heartbeat, Responder out) {
    components.responder().respond(heartbeat, out);
  }

  /**
   * Offers the transfer of a machine to another shard, at the request of an operator.
   *
   * @return false if the machine cannot be transferred now
   */
  public boolean transfer(String machine, String shard) {
    return components.sharing().offerTransfer(machine, shard);
  }

  /**
   * Answers a relayed heartbeat: the leader of another shard owns the machine, and this shard has
   * tasks on it.
   */
  public void relayedHeartbeat(RelayedHeartbeat relayed, Responder out) {
    components.sharing().respondToRelayed(relayed, out);
  }

  /** Returns whether all tasks that earlier leaders may have left running are known. */
  public boolean failoverComplete() {
    return components.failover().isComplete();
  }

  /**
   * Returns which start commands are settled, for the controllers that may lead next; empty while
   * this leader may not act or does not know all commands of earlier leaders that may be unsettled.
   */
  public Optional<SettledCommands> settledCommands() {
    if (!loaded || !mayAct() || context.sharing().isPresent()) {
      return Optional.empty();
    }
    Set<String> unsettled = components.unsettledMachines();
    return unsettled.size() > MAX_UNSETTLED_REPORTED
        ? Optional.empty()
        : Optional.of(new SettledCommands(components.jobs().endedJobsReadMicros(), unsettled));
  }

  /** Returns the job, or empty if this leader does not know the job. */
  public Optional<Job> job(String uid) {
    return loaded ? Optional.ofNullable(components.jobs().get(uid)) : Optional.empty();
  }

  /**
   * Returns a job's counts of completed and running tasks, for display; empty if this leader does
   * not know the job.
   */
  public Optional<TaskCounts> taskCounts(String uid) {
    return job(uid).map(Leader::taskCounts);
  }

  /** Returns the task counts of each job by job id, for display by other controllers. */
  public Map<String, TaskCounts> taskCounts() {
    Map<String, TaskCounts> counts = new LinkedHashMap<>();
    if (loaded) {
      components.jobs().all().forEach(job -> counts.put(job.uid(), taskCounts(job)));
    }
    return counts;
  }

  private static TaskCounts taskCounts(Job job) {
    return new TaskCounts(job.completedCount(), job.liveAttemptCount());
  }

  /** Stops the tasks of a job whose cancellation is stored, without waiting for watch events. */
  public void jobCancelled(String uid) {
    if (loaded) {
      components.jobs().jobEnded(uid, JobState.CANCELLED);
    }
  }

  /**
   * Called when another controller reports that these cancellations are confirmed. The information
   * is advisory: it can only cause additional tasks to be stopped.
   */
  public void cancellationsConfirmed(Collection<String> uids) {
    if (loaded) {
      components.jobs().cancellationsConfirmed(uids);
    }
  }

  /** Ends the term's work. No component of the term acts afterwards. */
  @Override
  public void close() {
    records.close();
    deferredHeartbeats.close();
    scope.close();
    // Closes the view of active jobs here too: the scope closes it only if the records of earlier
    // leaders were loaded.
    components.jobs().close();
  }
}
