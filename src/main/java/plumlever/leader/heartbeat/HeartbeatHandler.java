package plumlever.leader.heartbeat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.agrona.collections.LongHashSet;
import org.slf4j.Logger;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.fleet.RunTimeEstimates;
import plumlever.leader.context.Context;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.failover.Failover;
import plumlever.leader.job.ActiveJobs;
import plumlever.leader.progress.ProgressWriter;
import plumlever.wire.AttemptState;
import plumlever.wire.ExitCause;
import plumlever.wire.Heartbeat;
import plumlever.wire.WorkerCommand;

/** Learns from heartbeats, and writes the commands that answer them. */
public final class HeartbeatHandler {
  private final Logger log;
  private final Context context;
  private final Fleet fleet;
  private final ActiveJobs jobs;
  private final AttemptUpdates updates;
  private final Failover failover;
  private final Supplier<MachineSharing> sharing;
  private final AttemptLog attemptLog;
  private boolean changed;

  /** Handles the heartbeats of one term; {@code sharing} is set up later than this. */
  public HeartbeatHandler(
      Context context,
      Fleet fleet,
      ActiveJobs jobs,
      RunTimeEstimates estimates,
      Failover failover,
      ProgressWriter progress,
      Supplier<MachineSharing> sharing) {
    this.context = context;
    this.log = context.logs().of(HeartbeatHandler.class);
    this.fleet = fleet;
    this.jobs = jobs;
    this.failover = failover;
    this.sharing = sharing;
    this.attemptLog = new AttemptLog(context);
    this.updates =
        new AttemptUpdates(context, fleet, estimates, progress, attemptLog, () -> changed = true);
  }

  /** True if anything changed that placement cares for, since asked last. */
  public boolean takeChanged() {
    boolean wasChanged = changed;
    changed = false;
    return wasChanged;
  }

  /** What a heartbeat is worth. */
  public enum News {
    /** The newest of its machine. */
    NEWS,
    /** The worker waits for its answer, but the body of a direct call that came first was newer. */
    OVERTAKEN,
    /**
     * Late or sent twice: the worker does not wait for its answer, and its tasks are as old as it
     * is.
     */
    COPY
  }

  /**
   * Takes what a machine tells of itself, if it is news.
   *
   * @param own sent by the worker itself; the body of a direct call proves nothing about an answer
   *     on its way
   */
  public News apply(Machine machine, Heartbeat heartbeat, boolean own) {
    long now = context.loop().nowMicros();
    if (!machine.contact().isNewerThanLast(heartbeat)) {
      if (own
          && heartbeat.incarnation() == machine.contact().incarnation()
          && heartbeat.sequenceNumber() > machine.contact().ownSequenceNumber()) {
        machine.contact().recordOvertakenHeartbeat(heartbeat.sequenceNumber(), now);
        return News.OVERTAKEN;
      }
      // Copies come seconds to minutes late. They must neither bring back what is gone nor count as
      // a sign of life.
      return News.COPY;
    }
    boolean incarnationChanged =
        machine.contact().incarnation() > 0
            && heartbeat.incarnation() > machine.contact().incarnation();
    if (heartbeat.incarnation() > machine.contact().incarnation()) {
      endIncarnationsBefore(machine, heartbeat.incarnation());
    }
    boolean first = !machine.contact().hasReported();
    boolean noticed = heartbeat.hasPreemptionNotice() && machine.preemptedAtMicros() < 0;
    machine.recordReport(heartbeat, now, own);
    changed |= first && own;
    if (noticed) {
      changed = true;
      context.metrics().count("preemption_notices");
      log.info("{} has a preemption notice of {} s", machine.id(), heartbeat.preemptionNoticeS());
    }
    LongHashSet listed = new LongHashSet();
    boolean current = machine.tokens().isOfSameTerm(heartbeat.fencingToken());
    machine.tokens().raise(current ? heartbeat.fencingToken() : 0);
    int untracked = 0;
    for (Heartbeat.AttemptStatus reported : heartbeat.attempts()) {
      if (sharing.get().isGuest(machine, reported.attempt())) {
        continue;
      }
      listed.add(reported.attempt());
      Attempt attempt = machine.load().attempt(reported.attempt());
      if (attempt != null
          && attempt.task() == reported.task().number()
          && attempt.job().uid().equals(reported.task().job())) {
        updates.update(attempt, reported, now);
      } else if (attempt == null && current) {
        unknown(machine, reported, now);
      }
      if (reported.state() != AttemptState.ENDED
          && machine.load().attempt(reported.attempt()) == null) {
        untracked++;
      }
    }
    failover.untracked(machine, untracked);
    boolean lost = forgetGone(machine, heartbeat, own, listed);
    if (own) {
      noteAnswerDelivery(machine, heartbeat, lost || incarnationChanged);
    }
    if (current && !machine.accounted()) {
      failover.accounted(machine, own ? "it reported" : "it answered");
      changed = true;
    }
    return News.NEWS;
  }

  /**
   * Takes what the owner of another cell's machine passes on of it.
   *
   * @return false for a copy, which proves nothing
   */
  public boolean applyRelayed(Machine machine, Heartbeat heartbeat) {
    if (!machine.contact().isNewerThanLast(heartbeat)) {
      return false;
    }
    if (heartbeat.incarnation() > machine.contact().incarnation()) {
      endIncarnationsBefore(machine, heartbeat.incarnation());
    }
    long now = context.loop().nowMicros();
    machine.recordReport(heartbeat, now, true);
    LongHashSet listed = new LongHashSet();
    for (Heartbeat.AttemptStatus reported : heartbeat.attempts()) {
      listed.add(reported.attempt());
      Attempt attempt = machine.load().attempt(reported.attempt());
      if (attempt != null) {
        updates.update(attempt, reported, now);
      } else if (reported.state() == AttemptState.ENDED) {
        unknown(machine, reported, now);
      }
    }
    forgetGone(machine, heartbeat, true, listed);
    return true;
  }

  /**
   * Ends the attempts that the heartbeat proves the machine does not have; true if a command was
   * lost.
   */
  private boolean forgetGone(
      Machine machine, Heartbeat heartbeat, boolean own, LongHashSet listed) {
    List<Attempt> gone = null;
    for (Attempt attempt : machine.load().attempts()) {
      if (listed.contains(attempt.id())) {
        continue;
      }
      // A command in an answer: the worker has taken it in or dropped it before it sent this. A
      // direct command: it may be carried out late, until the worker has seen a higher token.
      if (attempt.directCommandToken() >= 0
          ? heartbeat.fencingToken() > attempt.directCommandToken() || attempt.state() != null
          : own && attempt.answeredSequenceNumber() < heartbeat.sequenceNumber()) {
        if (gone == null) {
          gone = new ArrayList<>();
        }
        gone.add(attempt);
      }
    }
    boolean lost = false;
    for (Attempt attempt : gone == null ? List.<Attempt>of() : gone) {
      if (!attempt.over()) {
        changed = true;
        lost |= attempt.state() == null;
        context.metrics().count(attempt.state() == null ? "starts_lost" : "attempts_vanished");
        attemptLog.settled(attempt, heartbeat);
      }
      fleet.removeAttempt(attempt);
    }
    return lost;
  }

  /**
   * Looks whether what was sent before arrives: a machine's reports may come through although
   * nothing reaches it.
   */
  private void noteAnswerDelivery(Machine machine, Heartbeat heartbeat, boolean lost) {
    boolean wasUnreachable = machine.contact().unreachable();
    if (machine.tokens().lastRenewal() > heartbeat.fencingToken()) {
      machine.contact().recordLostAnswer();
    } else if (lost) {
      machine.contact().recordLostAnswer();
      // The next heartbeat tells by its token whether the next answer arrives.
      machine.tokens().raise(machine.tokens().current() + 1);
    } else {
      machine.contact().recordDeliveredAnswer();
    }
    if (machine.contact().unreachable() != wasUnreachable) {
      changed = true;
      context.metrics().count(wasUnreachable ? "machines_reachable_again" : "machines_unreachable");
      log.info(
          "{} {}",
          machine.id(),
          wasUnreachable
              ? "is reachable again"
              : "sends heartbeats, but no answer seems to reach it");
    }
  }

  /**
   * The worker answered that it carried nothing of this out, and it never will: its token or
   * incarnation has moved on.
   */
  public void refused(Iterable<Attempt> sent) {
    for (Attempt attempt : sent) {
      if (!attempt.over() && attempt.state() == null) {
        changed = true;
        context.metrics().count("starts_refused");
        fleet.removeAttempt(attempt);
      }
    }
  }

  /**
   * A worker that starts a new incarnation has killed and forgotten everything of the ones before.
   */
  public void endIncarnationsBefore(Machine machine, long incarnation) {
    if (fleet.transferredMachine(machine.id()) != machine) {
      failover.untracked(machine, 0);
    }
    List<Attempt> ended = new ArrayList<>();
    for (Attempt attempt : machine.load().attempts()) {
      if (attempt.incarnation() < incarnation) {
        ended.add(attempt);
      }
    }
    for (Attempt attempt : ended) {
      if (!attempt.over()) {
        changed = true;
        context.metrics().count("attempts_lost");
      }
      fleet.removeAttempt(attempt);
    }
  }

  /** A task this leader did not start there. */
  private void unknown(Machine machine, Heartbeat.AttemptStatus reported, long now) {
    Job job = jobs.get(reported.task().job());
    if (job == null || job.over() || reported.task().number() >= job.spec().taskCount()) {
      return;
    }
    int task = reported.task().number();
    if (reported.state() == AttemptState.ENDED) {
      if (reported.cause() == ExitCause.DONE) {
        Attempt other = job.liveAttempt(task);
        if (other != null) {
          other.requestStop(0, now);
        }
        updates.done(job, task);
        changed = true;
      }
      return;
    }
    // Only the heartbeat that accounts for a machine may bring attempts of earlier terms: one that
    // was held back until after the lease had lapsed lists tasks that are dead.
    if (!machine.accounted()
        && fleet.isOfEarlierTerm(reported.attempt())
        && job.inherited()
        && !job.completedTasks().get(task)
        && job.liveAttempt(task) == null) {
      Attempt attempt = fleet.adoptAttempt(job, task, reported.attempt(), machine, now);
      attempt.recordState(reported.state(), now);
      if (reported.state() == AttemptState.RUNNING) {
        machine.images().markReady(job.spec().image(), job.spec().imageGb());
      } else if (context.prices().machineType(machine.machineType()) != null) {
        machine
            .images()
            .recordUse(
                job.spec().image(),
                job.spec().imageGb(),
                context.prices().machineType(machine.machineType()),
                now);
      }
      changed = true;
      context.metrics().count("attempts_adopted");
    } else if (job.liveAttempt(task) != null) {
      // Mostly a heartbeat that was held back in the network; if not, the stop that answers it
      // comes in time.
      log.info(
          "{} is reported by {} and runs on {}",
          reported.task().wireName(),
          machine.id(),
          job.liveAttempt(task).machine().id());
    }
  }

  /**
   * True if the machine has tasks of jobs that are not known here to have ended; stops of the
   * others go with any answer.
   */
  public boolean holdsOpenTasks(Heartbeat heartbeat) {
    for (Heartbeat.AttemptStatus reported : heartbeat.attempts()) {
      if (reported.state() != AttemptState.ENDED && jobs.get(reported.task().job()) != null) {
        return true;
      }
    }
    return false;
  }

  /** The commands that go without a plan: stops, and what the worker may forget. */
  public List<WorkerCommand> standingCommands(Machine machine, Heartbeat heartbeat) {
    long now = context.loop().nowMicros();
    List<WorkerCommand> commands = new ArrayList<>();
    // A worker that has forgotten an attempt would start it again from a late copy of a direct
    // order. So nothing is removed until the answer that says so also makes such copies void, which
    // has to wait for one still under way.
    if (machine.tokens().hasUnvoidedCommand() && !machine.contact().commandInFlight()) {
      machine.tokens().voidDirectCommands();
    }
    boolean mayRemove = !machine.tokens().hasUnvoidedCommand();
    for (Attempt attempt : machine.load().attempts()) {
      if (attempt.over()) {
        if (mayRemove
            && attempt.exitCause() != null
            && (attempt.exitCause() != ExitCause.DONE
                || attempt.job().over()
                || attempt.job().storedTasks().get(attempt.task()))) {
          commands.add(WorkerCommand.remove(attempt.name(), attempt.id()));
        }
      } else {
        if (attempt.job().over()
            || attempt.job().cancellationConfirmed()
            || attempt.job().completedTasks().get(attempt.task())) {
          attemptLog.stopped(attempt);
          attempt.requestStop(0, now);
        }
        if (attempt.stopping()) {
          commands.add(WorkerCommand.stop(attempt.name(), attempt.id(), attempt.gracePeriodS()));
        }
      }
    }
    boolean current = machine.tokens().isOfSameTerm(heartbeat.fencingToken());
    for (Heartbeat.AttemptStatus reported : heartbeat.attempts()) {
      if (machine.load().attempt(reported.attempt()) != null
          || sharing.get().isGuest(machine, reported.attempt())) {
        continue;
      }
      Job job = jobs.get(reported.task().job());
      if (reported.state() != AttemptState.ENDED) {
        // A heartbeat that shows an earlier term does not account for its machine, but tasks of
        // jobs that have ended are stopped by the first answer: it renews their lease, and the
        // machine may not hear another one.
        if (current || job == null) {
          commands.add(WorkerCommand.stop(reported.task(), reported.attempt(), 0));
        }
      } else if (current
          && mayRemove
          && (job == null
              || reported.cause() != ExitCause.DONE
              || job.storedTasks().get(reported.task().number()))) {
        commands.add(WorkerCommand.remove(reported.task(), reported.attempt()));
      }
    }
    return commands;
  }
}
