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
import plumlever.wire.AttemptState;
import plumlever.wire.Heartbeat;
import plumlever.wire.WorkerCommand;

/**
 * Evaluates the heartbeats of one term: decides how fresh each is, and passes what it proves to the
 * parts that keep it. Everything that heartbeats change goes through here.
 */
public final class HeartbeatHandler {
  private final Logger log;
  private final TermContext context;
  private final ActiveJobs jobs;
  private final Failover failover;
  private final Supplier<MachineSharing> sharing;
  private final PlacementChange placementChange = new PlacementChange();
  private final AttemptUpdates updates;
  private final UnknownAttempts unknownAttempts;
  private final AbsentAttempts absentAttempts;
  private final AnswerDelivery answerDelivery;
  private final StopAndRemoveCommands stopAndRemoveCommands;

  /**
   * Handles the heartbeats of one term.
   *
   * @param sharing asked with each heartbeat; it is set up later than this
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
    this.log = context.logs().of(HeartbeatHandler.class);
    this.jobs = jobs;
    this.failover = failover;
    this.sharing = sharing;
    AttemptLog attemptLog = new AttemptLog(context);
    this.updates =
        new AttemptUpdates(context, fleet, estimates, progress, attemptLog, placementChange);
    this.unknownAttempts = new UnknownAttempts(context, fleet, jobs, updates, placementChange);
    this.absentAttempts = new AbsentAttempts(context, fleet, failover, attemptLog, placementChange);
    this.answerDelivery = new AnswerDelivery(context, placementChange);
    this.stopAndRemoveCommands = new StopAndRemoveCommands(context, jobs, sharing, attemptLog);
  }

  /** True if anything on which placement depends has changed since the last call. */
  public boolean getAndClearChanged() {
    return placementChange.getAndClear();
  }

  /** How a heartbeat compares with what was received before. */
  public enum Freshness {
    /** The newest of its machine. */
    LATEST,
    /** The worker waits for its answer, but the body of a direct call that came first was newer. */
    SUPERSEDED,
    /**
     * Late or sent twice: the worker does not wait for its answer, and its tasks are as old as it
     * is.
     */
    DUPLICATE
  }

  /**
   * Takes in what a machine reports, if it is the latest.
   *
   * @param source whether it is a heartbeat of its own or the reply to a direct call
   */
  public Freshness apply(Machine machine, Heartbeat heartbeat, HeartbeatSource source) {
    long now = context.loop().nowMicros();
    if (!machine.contact().isNewerThanLast(heartbeat)) {
      return applyOutdated(machine, heartbeat, source, now);
    }
    boolean incarnationChanged =
        machine.contact().incarnation() > 0
            && heartbeat.incarnation() > machine.contact().incarnation();
    endEarlierIncarnations(machine, heartbeat);
    observe(machine, heartbeat, source, now);
    boolean currentTerm = machine.tokens().isOfSameTerm(heartbeat.fencingToken());
    machine.tokens().raise(currentTerm ? heartbeat.fencingToken() : 0);
    LongHashSet listed = applyAttempts(machine, heartbeat, currentTerm, now);
    boolean startLost = absentAttempts.endUnlisted(machine, heartbeat, source, listed);
    if (source == HeartbeatSource.WORKER) {
      answerDelivery.evaluate(machine, heartbeat, startLost || incarnationChanged);
    }
    if (currentTerm && !machine.accounted()) {
      failover.markAccounted(
          machine, source == HeartbeatSource.WORKER ? "it reported" : "it answered");
      placementChange.mark();
    }
    return Freshness.LATEST;
  }

  /**
   * Copies come seconds to minutes late. They must neither bring back what is gone nor count as a
   * sign of life.
   */
  private static Freshness applyOutdated(
      Machine machine, Heartbeat heartbeat, HeartbeatSource source, long now) {
    if (source == HeartbeatSource.WORKER
        && heartbeat.incarnation() == machine.contact().incarnation()
        && heartbeat.sequenceNumber() > machine.contact().ownSequenceNumber()) {
      machine.contact().recordOvertakenHeartbeat(heartbeat.sequenceNumber(), now);
      return Freshness.SUPERSEDED;
    }
    return Freshness.DUPLICATE;
  }

  private void endEarlierIncarnations(Machine machine, Heartbeat heartbeat) {
    if (heartbeat.incarnation() > machine.contact().incarnation()) {
      absentAttempts.endIncarnationsBefore(machine, heartbeat.incarnation());
    }
  }

  private void observe(Machine machine, Heartbeat heartbeat, HeartbeatSource source, long now) {
    boolean firstHeartbeat = !machine.contact().hasReported();
    boolean newNotice = heartbeat.hasPreemptionNotice() && machine.preemptedAtMicros() < 0;
    machine.recordReport(heartbeat, source, now);
    if (firstHeartbeat && source == HeartbeatSource.WORKER) {
      placementChange.mark();
    }
    if (newNotice) {
      placementChange.mark();
      context.metrics().count("preemption_notices");
      log.info("{} has a preemption notice of {} s", machine.id(), heartbeat.preemptionNoticeS());
    }
  }

  /** Applies the status of each attempt; returns the attempts of this shard that are listed. */
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
      if (attempt != null && isOfTask(attempt, reported)) {
        updates.update(attempt, reported, now);
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

  private static boolean isOfTask(Attempt attempt, Heartbeat.AttemptStatus reported) {
    return attempt.task() == reported.task().number()
        && attempt.job().uid().equals(reported.task().job());
  }

  /**
   * Takes in what the owner of another shard's machine relays of this shard's tasks on it.
   *
   * @return {@code LATEST}, or {@code DUPLICATE} for a copy, which proves nothing
   */
  public Freshness applyRelayed(Machine machine, Heartbeat heartbeat) {
    if (!machine.contact().isNewerThanLast(heartbeat)) {
      return Freshness.DUPLICATE;
    }
    endEarlierIncarnations(machine, heartbeat);
    long now = context.loop().nowMicros();
    machine.recordReport(heartbeat, HeartbeatSource.WORKER, now);
    LongHashSet listed = new LongHashSet();
    for (Heartbeat.AttemptStatus reported : heartbeat.attempts()) {
      listed.add(reported.attempt());
      Attempt attempt = machine.load().attempt(reported.attempt());
      if (attempt != null) {
        updates.update(attempt, reported, now);
      } else if (reported.state() == AttemptState.ENDED) {
        unknownAttempts.handle(machine, reported, now);
      }
    }
    absentAttempts.endUnlisted(machine, heartbeat, HeartbeatSource.WORKER, listed);
    return Freshness.LATEST;
  }

  /** The worker refused a direct command: none of these starts was executed, or ever will be. */
  public void startsRefused(Iterable<Attempt> sent) {
    absentAttempts.endRefused(sent);
  }

  /** Ends all attempts on a machine that was deleted or whose lease has surely expired. */
  public void endAllAttempts(Machine machine) {
    absentAttempts.endIncarnationsBefore(machine, Long.MAX_VALUE);
  }

  /**
   * True if the machine has tasks of jobs that are not known here to have ended; stops of all
   * others go with any answer.
   */
  public boolean holdsTasksOfActiveJobs(Heartbeat heartbeat) {
    for (Heartbeat.AttemptStatus reported : heartbeat.attempts()) {
      if (reported.state() != AttemptState.ENDED && jobs.get(reported.task().job()) != null) {
        return true;
      }
    }
    return false;
  }

  /** The stops and removals that an answer to this heartbeat must carry, whatever is planned. */
  public List<WorkerCommand> stopAndRemoveCommands(Machine machine, Heartbeat heartbeat) {
    return stopAndRemoveCommands.forAnswer(machine, heartbeat);
  }
}
