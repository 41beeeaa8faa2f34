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
 * Ends attempts that are proven not to be on their machine. Only three things count as proof: a
 * heartbeat that would have to list the attempt but does not, a later incarnation of the worker (a
 * new one begins when its lease has expired), or a refused command.
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
   * Ends the attempts that the heartbeat does not list, as far as this proves that they are not on
   * the machine.
   *
   * @param source whether the worker sent the heartbeat itself or in the response to a direct call
   * @param listed the attempts that the heartbeat lists
   * @return true if the heartbeat shows that a start command was lost
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
      startLost |= !attempt.hasEnded() && !attempt.reported();
      endUnlisted(attempt, heartbeat);
    }
    return startLost;
  }

  /**
   * Returns whether a heartbeat that does not list the attempt proves that the attempt neither runs
   * on the machine nor can still start there. A command in a heartbeat response is executed or
   * dropped before the worker sends its next heartbeat. A direct command (one sent in a call to the
   * worker) may be executed late, until the worker has seen a higher token.
   */
  private static boolean provesAbsence(
      Heartbeat heartbeat, HeartbeatSource source, Attempt attempt) {
    return attempt.directCommandToken() >= 0
        ? heartbeat.fencingToken() > attempt.directCommandToken() || attempt.reported()
        : source == HeartbeatSource.WORKER
            && attempt.startHeartbeatSequenceNumber() < heartbeat.sequenceNumber();
  }

  private void endUnlisted(Attempt attempt, Heartbeat heartbeat) {
    if (!attempt.hasEnded()) {
      placementChange.mark();
      context.metrics().count(attempt.reported() ? "attempts_vanished" : "starts_lost");
      attemptLog.absent(attempt, heartbeat);
    }
    fleet.removeAttempt(attempt);
  }

  /**
   * Ends attempts whose start command the worker refused. The worker has executed no part of the
   * command and never will, because its token or incarnation is newer than the command's.
   */
  void endRefused(Iterable<Attempt> refusedStarts) {
    for (Attempt attempt : refusedStarts) {
      if (!attempt.hasEnded() && !attempt.reported()) {
        placementChange.mark();
        context.metrics().count("starts_refused");
        fleet.removeAttempt(attempt);
      }
    }
  }

  /**
   * Ends the attempts that were started in earlier incarnations of the worker than the given one. A
   * worker that starts a new incarnation has killed the tasks of its earlier incarnations.
   */
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
      if (!attempt.hasEnded()) {
        placementChange.mark();
        context.metrics().count("attempts_lost");
        attemptLog.incarnationEnded(attempt);
      }
      fleet.removeAttempt(attempt);
    }
  }
}
