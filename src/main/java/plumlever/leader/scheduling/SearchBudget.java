package plumlever.leader.scheduling;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import plumlever.fleet.Job;

/**
 * Limits the placement searches of a pass for jobs for whose tasks no machine has free capacity
 * now. In a full fleet with hundreds of pending jobs, a search for each would take longer than the
 * time until the next urgent job arrives.
 *
 * <p>The first such jobs in scheduling order are searched in every pass. Of the jobs behind them,
 * one of each kind is searched; the kinds take turns, so that each is searched within ⌈kinds /
 * {@link #MAX_KINDS_PER_PASS}⌉ + 1 passes, however many jobs wait in front of it.
 */
final class SearchBudget {
  /** Number of jobs per pass that are searched because they come first. */
  static final int MAX_IN_ORDER = 24;

  /** Number of kinds per pass of which a job is searched although other jobs come first. */
  static final int MAX_KINDS_PER_PASS = 16;

  /** The kinds of jobs left out, beginning with the one that was searched the longest ago. */
  private final Set<JobKind> leftOut = new LinkedHashSet<>();

  /** Kinds left out of earlier passes that are searched in this pass. */
  private final Set<JobKind> due = new HashSet<>();

  private final Set<JobKind> searched = new HashSet<>();
  private final Set<JobKind> met = new HashSet<>();
  private int jobsInOrder;
  private int searchesForNewKinds;

  /** Begins a pass. */
  void beginPass() {
    jobsInOrder = 0;
    searched.clear();
    met.clear();
    due.clear();
    for (JobKind kind : leftOut) {
      if (due.size() == MAX_KINDS_PER_PASS) {
        break;
      }
      due.add(kind);
    }
    searchesForNewKinds = MAX_KINDS_PER_PASS - due.size();
  }

  /** Ends a complete pass: forgets the kinds of which no job is waiting any more. */
  void endPass() {
    leftOut.retainAll(met);
  }

  /**
   * Returns whether a search is made for the job in this pass; called in scheduling order, once per
   * pass for each job without free capacity.
   */
  boolean maySearch(Job job) {
    JobKind kind = JobKind.of(job);
    met.add(kind);
    if (jobsInOrder < MAX_IN_ORDER) {
      jobsInOrder++;
      recordSearch(kind);
      return true;
    }
    if (searched.contains(kind)) {
      return false;
    }
    if (due.contains(kind) || !leftOut.contains(kind) && searchesForNewKinds-- > 0) {
      recordSearch(kind);
      return true;
    }
    leftOut.add(kind);
    return false;
  }

  private void recordSearch(JobKind kind) {
    searched.add(kind);
    leftOut.remove(kind);
  }

  /** Returns whether a further pass is needed to search every kind of job. */
  boolean hasLeftOut() {
    return !leftOut.isEmpty();
  }
}
