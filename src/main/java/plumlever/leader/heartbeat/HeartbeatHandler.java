package plumlever.leader.heartbeat;

import java.util.List;
import java.util.function.Supplier;
import org.agrona.collections.LongHashSet;
import org.slf4j.Logger;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.HeartbeatSource;
import plumlever.fleet.Machine;
import plumlever.fleet.RunTimeEstimates;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.job.ActiveJobs;
import plumlever.leader.progress.ProgressWriter;
import plumlever.metrics.LogRateLimiter;
import plumlever.wire.AttemptState;
import plumlever.wire.Heartbeat;
import plumlever.wire.WorkerCommand;

/**
 * Applies the heartbeats that the leader receives during one term. For each heartbeat, checks
 * whether the heartbeat is newer than the last one of its machine, and passes the reported attempt
 * states to the components that track attempts. Every state change caused by a heartbeat is made
 * through this class.
 */
public final class HeartbeatHandler {
  private static final int MAX_INCARNATION_LINES_PER_SECOND = 50;

  private final Logger log;
  private final LogRateLimiter incarnationLogLimiter;
  private final TermContext context;
  private final ActiveJobs jobs;
  private final Failover failover;
  private final Supplier<MachineSharing> sharing;
  private final PlacementChange placementChange = new PlacementChange();
  private final AttemptUpdates attemptUpdates;
  private final UnknownAttempts unknownAttempts;
  private final AbsentAttempts absentAttempts;
  private final ResponseDelivery responseDelivery;
  private final StopAndRemoveCommands stopAndRemoveCommands;

  /**
   * Creates the handler of one term.
   *
   * @param sharing supplies the view of the pool; called for each heartbeat, because the view is
   *     created after this handler
   */
  public HeartbeatHandler(
      TermContext context,
      Fleet fleet,
      ActiveJobs jobs,
      RunTimeEstimates estimates,
      Failover failover,
      ProgressWriter progress,
      Supplier<MachineSharing> sharing) {
    this.context = context;
    this.log = context.loggerProvider().of(HeartbeatHandler.class);
    this.incarnationLogLimiter = new LogRateLimiter(log, MAX_INCARNATION_LINES_PER_SECOND);
    this.jobs = jobs;
    this.failover = failover;
    this.sharing = sharing;
    AttemptLog attemptLog = new AttemptLog(context);
    this.attemptUpdates =
        new AttemptUpdates(context, fleet, estimates, progress, attemptLog, placementChange);
    this.unknownAttempts =
        new UnknownAttempts(context, fleet, jobs, attemptUpdates, placementChange);
    this.absentAttempts = new AbsentAttempts(context, fleet, failover, attemptLog, placementChange);
    this.responseDelivery = new ResponseDelivery(context, placementChange);
    this.stopAndRemoveCommands = new StopAndRemoveCommands(context, jobs, sharing, attemptLog);
  }

  /**
   * Returns whether heartbeats have changed an input of task placement since the last call; clears
   * the record of the change.
   */
  public boolean getAndClearPlacementChanged() {
    return placementChange.getAndClear();
  }

  /** The order of a heartbeat relative to those received before from its machine. */
  public enum Freshness {
    /** The heartbeat is newer than every heartbeat received before from its machine. */
    LATEST,
    /**
     * The worker still waits for the response to the heartbeat, but the leader has already received
     * newer content from the worker, in the response to a direct call.
     */
    SUPERSEDED,
    /**
     * The heartbeat is a duplicate or was delayed. The worker no longer waits for its response, and
     * its task list is outdated.
     */
    DUPLICATE
  }

  /**
   * Applies a machine's heartbeat if it is newer than all heartbeats received before from the
   * machine.
   *
   * @param source whether the worker sent the heartbeat itself or in the response to a direct call
   */
  public Freshness apply(Machine machine, Heartbeat heartbeat, HeartbeatSource source) {
    long now = context.loop().nowMicros();
    if (!machine.contact().isNewerThanLast(heartbeat)) {
      return applyOutdated(machine, heartbeat, source, now);
    }
    boolean incarnationChanged =
        machine.contact().incarnation() > 0
            && heartbeat.incarnation() > machine.contact().incarnation();
    if (incarnationChanged) {
      logIncarnation(machine, heartbeat, source, now);
    }
    endEarlierIncarnations(machine, heartbeat);
    recordHeartbeat(machine, heartbeat, source, now);
    boolean currentTerm = machine.tokens().isOfSameTerm(heartbeat.fencingToken());
    machine.tokens().raise(currentTerm ? heartbeat.fencingToken() : 0);
    LongHashSet listed = applyAttempts(machine, heartbeat, currentTerm, now);
    boolean startLost = absentAttempts.endUnlisted(machine, heartbeat, source, listed);
    if (source == HeartbeatSource.WORKER) {
      responseDelivery.evaluate(machine, heartbeat, startLost || incarnationChanged);
    }
    if (currentTerm && !machine.accounted()) {
      failover.markAccounted(
          machine,
          source == HeartbeatSource.WORKER
              ? "its worker sent a heartbeat"
              : "it responded to a direct call");
      placementChange.mark();
    }
    return Freshness.LATEST;
  }

  /**
   * Classifies a heartbeat that is not the newest of its machine. Duplicates of heartbeats arrive
   * seconds to minutes late. A duplicate must neither restore removed attempts nor count as a sign
   * that the machine is alive.
   */
  private static Freshness applyOutdated(
      Machine machine, Heartbeat heartbeat, HeartbeatSource source, long now) {
    if (source == HeartbeatSource.WORKER
        && heartbeat.incarnation() == machine.contact().incarnation()
        && heartbeat.sequenceNumber() > machine.contact().heartbeatSequenceNumber()) {
      machine.contact().recordOutOfOrderHeartbeat(heartbeat.sequenceNumber(), now);
      return Freshness.SUPERSEDED;
    }
    return Freshness.DUPLICATE;
  }

  private void logIncarnation(
      Machine machine, Heartbeat heartbeat, HeartbeatSource source, long now) {
    context.metrics().count("incarnations_changed");
    if (incarnationLogLimiter.tryAcquireDebugLine(now)) {
      log.debug(
          "machine {} is in incarnation {}, before in {}: learned from {} with sequence number {}"
              + " and token {}",
          machine.id(),
          heartbeat.incarnation(),
          machine.contact().incarnation(),
          source == HeartbeatSource.WORKER ? "a heartbeat" : "the response to a direct call",
          heartbeat.sequenceNumber(),
          heartbeat.fencingToken());
    }
  }

  private void endEarlierIncarnations(Machine machine, Heartbeat heartbeat) {
    if (heartbeat.incarnation() > machine.contact().incarnation()) {
      absentAttempts.endIncarnationsBefore(machine, heartbeat.incarnation());
    }
  }

  private void recordHeartbeat(
      Machine machine, Heartbeat heartbeat, HeartbeatSource source, long now) {
    boolean firstHeartbeat = !machine.contact().hasSentHeartbeat();
    boolean newPreemptionNotice =
        heartbeat.hasPreemptionNotice() && machine.preemptedAtMicros() < 0;
    machine.recordHeartbeat(heartbeat, source, now);
    if (firstHeartbeat && source == HeartbeatSource.WORKER) {
      placementChange.mark();
    }
    if (newPreemptionNotice) {
      placementChange.mark();
      context.metrics().count("preemption_notices");
      log.info(
          "machine {} received a preemption notice: it will be reclaimed in {} s",
          machine.id(),
          heartbeat.preemptionNoticeS());
    }
  }

  /**
   * Applies the reported status of each attempt.
   *
   * @return the listed attempts that belong to this shard
   */
  private LongHashSet applyAttempts(
      Machine machine, Heartbeat heartbeat, boolean currentTerm, long now) {
    LongHashSet listed = new LongHashSet();
    int untracked = 0;
    for (Heartbeat.AttemptStatus reported : heartbeat.attempts()) {
      if (sharing.get().isForeign(machine, reported.attempt())) {
        continue;
      }
      listed.add(reported.attempt());
      Attempt attempt = machine.load().attempt(reported.attempt());
      if (attempt != null && isAttemptOfTask(attempt, reported)) {
        attemptUpdates.update(attempt, reported, now);
      } else if (attempt == null && currentTerm) {
        unknownAttempts.handle(machine, reported, now);
      }
      if (reported.state() != AttemptState.ENDED
          && machine.load().attempt(reported.attempt()) == null) {
        untracked++;
      }
    }
    failover.setUntrackedTasks(machine, untracked);
    return listed;
  }

  private static boolean isAttemptOfTask(Attempt attempt, Heartbeat.AttemptStatus reported) {
    return attempt.task() == reported.task().number()
        && attempt.job().uid().equals(reported.task().job());
  }

  /**
   * Applies a heartbeat that another shard's leader relays. The machine belongs to that shard, and
   * the heartbeat lists this shard's tasks on it.
   *
   * @return {@code LATEST}, or {@code DUPLICATE} for an outdated heartbeat, which is ignored
   */
  public Freshness applyRelayed(Machine machine, Heartbeat heartbeat) {
    if (!machine.contact().isNewerThanLast(heartbeat)) {
      return Freshness.DUPLICATE;
    }
    endEarlierIncarnations(machine, heartbeat);
    long now = context.loop().nowMicros();
    machine.recordHeartbeat(heartbeat, HeartbeatSource.WORKER, now);
    LongHashSet listed = new LongHashSet();
    for (Heartbeat.AttemptStatus reported : heartbeat.attempts()) {
      listed.add(reported.attempt());
      Attempt attempt = machine.load().attempt(reported.attempt());
      if (attempt != null) {
        attemptUpdates.update(attempt, reported, now);
      } else if (reported.state() == AttemptState.ENDED) {
        unknownAttempts.handle(machine, reported, now);
      }
    }
    absentAttempts.endUnlisted(machine, heartbeat, HeartbeatSource.WORKER, listed);
    return Freshness.LATEST;
  }

  /**
   * Ends attempts whose start commands the worker refused. The commands were sent in a call to the
   * worker, not in the response to a heartbeat. The worker has not executed them and never will.
   */
  public void endRefusedStarts(Iterable<Attempt> refusedStarts) {
    absentAttempts.endRefused(refusedStarts);
  }

  /** Ends all attempts on a machine that was deleted or whose lease has certainly expired. */
  public void endAllAttempts(Machine machine) {
    absentAttempts.endIncarnationsBefore(machine, Long.MAX_VALUE);
  }

  /**
   * Returns whether the heartbeat lists an unfinished task of a job that this leader does not know
   * to have ended. Tasks of other jobs need no check, because every response carries their stop
   * commands.
   */
  public boolean holdsTasksOfActiveJobs(Heartbeat heartbeat) {
    for (Heartbeat.AttemptStatus reported : heartbeat.attempts()) {
      if (reported.state() != AttemptState.ENDED && jobs.get(reported.task().job()) != null) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the stop and remove commands that every response to this heartbeat must carry,
   * independent of which tasks are planned.
   */
  public List<WorkerCommand> stopAndRemoveCommands(Machine machine, Heartbeat heartbeat) {
    return stopAndRemoveCommands.forResponse(machine, heartbeat);
  }
}
