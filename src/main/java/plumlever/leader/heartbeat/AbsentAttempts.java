package plumlever.leader.heartbeat;

import java.util.ArrayList;
import java.util.List;
import org.agrona.collections.LongHashSet;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.HeartbeatSource;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.wire.Heartbeat;

/**
 * Ends attempts that are proved not to be on their machine. Proof is a heartbeat that would list
 * the attempt, a later incarnation of the worker, or a refused command; nothing else.
 */
final class AbsentAttempts {
  private final TermContext context;
  private final Fleet fleet;
  private final Failover failover;
  private final AttemptLog attemptLog;
  private final PlacementChange placementChange;

  AbsentAttempts(
      TermContext context,
      Fleet fleet,
      Failover failover,
      AttemptLog attemptLog,
      PlacementChange placementChange) {
    this.context = context;
    this.fleet = fleet;
    this.failover = failover;
    this.attemptLog = attemptLog;
    this.placementChange = placementChange;
  }

  /**
   * Ends the attempts that the heartbeat proves the machine does not have.
   *
   * @param source whether it is a heartbeat of its own
   * @param listed attempts that the heartbeat lists
   * @return true if a start was lost
   */
  boolean endUnlisted(
      Machine machine, Heartbeat heartbeat, HeartbeatSource source, LongHashSet listed) {
    List<Attempt> absent = null;
    for (Attempt attempt : machine.load().attempts()) {
      if (!listed.contains(attempt.id()) && provesAbsence(heartbeat, source, attempt)) {
        if (absent == null) {
          absent = new ArrayList<>();
        }
        absent.add(attempt);
      }
    }
    if (absent == null) {
      return false;
    }
    boolean startLost = false;
    for (Attempt attempt : absent) {
      startLost |= !attempt.over() && !attempt.reported();
      endUnlisted(attempt, heartbeat);
    }
    return startLost;
  }

  /**
   * True if the heartbeat, which does not list the attempt, would list it were it on the machine or
   * could it still start there. A command in an answer was executed or dropped by the worker before
   * it sent its next heartbeat. A direct command may be executed late, until the worker has seen a
   * higher token.
   */
  private static boolean provesAbsence(
      Heartbeat heartbeat, HeartbeatSource source, Attempt attempt) {
    return attempt.directCommandToken() >= 0
        ? heartbeat.fencingToken() > attempt.directCommandToken() || attempt.reported()
        : source == HeartbeatSource.WORKER
            && attempt.answeredSequenceNumber() < heartbeat.sequenceNumber();
  }

  private void endUnlisted(Attempt attempt, Heartbeat heartbeat) {
    if (!attempt.over()) {
      placementChange.mark();
      context.metrics().count(attempt.reported() ? "attempts_vanished" : "starts_lost");
      attemptLog.absent(attempt, heartbeat);
    }
    fleet.removeAttempt(attempt);
  }

  /**
   * Ends attempts whose start the worker refused: it executed nothing of the command and never
   * will, since its token or incarnation has moved on.
   */
  void endRefused(Iterable<Attempt> sent) {
    for (Attempt attempt : sent) {
      if (!attempt.over() && !attempt.reported()) {
        placementChange.mark();
        context.metrics().count("starts_refused");
        fleet.removeAttempt(attempt);
      }
    }
  }

  /** Ends the attempts of earlier incarnations: a worker that starts a new one has killed them. */
  void endIncarnationsBefore(Machine machine, long incarnation) {
    if (fleet.transferredMachine(machine.id()) != machine) {
      failover.setUntrackedTasks(machine, 0);
    }
    List<Attempt> ended = new ArrayList<>();
    for (Attempt attempt : machine.load().attempts()) {
      if (attempt.incarnation() < incarnation) {
        ended.add(attempt);
      }
    }
    for (Attempt attempt : ended) {
      if (!attempt.over()) {
        placementChange.mark();
        context.metrics().count("attempts_lost");
      }
      fleet.removeAttempt(attempt);
    }
  }
}
