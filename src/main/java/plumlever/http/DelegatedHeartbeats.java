package plumlever.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.concurrent.Loop;
import plumlever.election.DelegatedRenewal;
import plumlever.lease.DelegateEvidence;
import plumlever.lease.LeaseRenewal;
import plumlever.lease.RenewalDecision;
import plumlever.lease.RenewalRefusal;
import plumlever.metrics.LogBudget;
import plumlever.metrics.Logs;
import plumlever.metrics.Metrics;
import plumlever.store.JobRecordCache;
import plumlever.wire.HttpStatus;
import plumlever.wire.Order;
import plumlever.wire.TaskStatus;
import plumlever.wire.WorkerReport;

/**
 * Answers heartbeats for a leader that can't reach their zone: leases are renewed and tasks of
 * ended jobs stopped, nothing is started. The answer carries the token that the leader stored with
 * the delegation. With the token that the report shows, a start that the leader had sent before
 * could still be carried out, minutes later and after a cancellation.
 */
public final class DelegatedHeartbeats {
  private static final int LINES_PER_SECOND = 20;

  private final Loop loop;
  private final DelegatedRenewal delegation;
  private final JobRecordCache jobs;
  private final LeaseRenewal renewal;
  private final Metrics metrics;
  private final Logger log;
  private final LogBudget lines;

  /** Answers under this delegation. */
  public DelegatedHeartbeats(
      Loop loop,
      DelegatedRenewal delegation,
      JobRecordCache jobs,
      LeaseRenewal renewal,
      Metrics metrics,
      Logs logs) {
    this.loop = loop;
    this.delegation = delegation;
    this.jobs = jobs;
    this.renewal = renewal;
    this.metrics = metrics;
    this.log = logs.of(DelegatedHeartbeats.class);
    this.lines = new LogBudget(log, LINES_PER_SECOND);
  }

  /**
   * Answers the report if leases in its zone may be renewed here.
   *
   * @return false if they may not, and nothing was answered
   */
  boolean answer(WorkerReport report, Responder out) {
    Optional<DelegatedRenewal.Right> right = delegation.in(report.site());
    // Nothing was read yet: what can be told without, is told before the jobs are asked for.
    if (right.isEmpty()
        || renewal
            .refusal(evidence(right.get(), report, loop.nowMicros()), loop.nowMicros())
            .isPresent()) {
      right.ifPresent(known -> logRefusal(report, known, "before the jobs are looked up"));
      return false;
    }
    jobs.endedOf(jobsOf(report), ends -> answer(report, Optional.ofNullable(ends), out));
    return true;
  }

  private void answer(WorkerReport report, Optional<JobRecordCache.Ends> ends, Responder out) {
    // Asked again: finding out took its time. A lease is not renewed for tasks whose halt can't be
    // given.
    Optional<DelegatedRenewal.Right> right = delegation.in(report.site());
    if (right.isEmpty()) {
      refuse(report, RenewalRefusal.DELEGATION_OVER, out);
      return;
    }
    if (ends.isEmpty()) {
      refuse(report, RenewalRefusal.ENDED_JOBS_UNKNOWN, out);
      return;
    }
    List<Order> halts = halts(report, ends.get().uids());
    DelegateEvidence evidence = evidence(right.get(), report, ends.get().askedMicros());
    RenewalDecision decision = renewal.answer(evidence, halts, loop.nowMicros());
    if (decision instanceof RenewalDecision.Renewed renewed) {
      logRenewal(report, evidence, halts);
      metrics.count("leases_renewed_for_leader");
      delegation.renewed();
      out.send(HttpStatus.OK, renewed.body());
    } else if (decision instanceof RenewalDecision.Refused refused) {
      refuse(report, refused.refusal(), out);
    }
  }

  private static DelegateEvidence evidence(
      DelegatedRenewal.Right right, WorkerReport report, long endsKnownMicros) {
    return new DelegateEvidence(
        right.token(), report.fencingToken(), right.validUntilMicros(), endsKnownMicros);
  }

  private static Set<String> jobsOf(WorkerReport report) {
    Set<String> uids = new HashSet<>();
    for (WorkerReport.Piece piece : report.pieces()) {
      if (piece.status() != TaskStatus.ENDED) {
        uids.add(piece.task().job());
      }
    }
    return uids;
  }

  private static List<Order> halts(WorkerReport report, Set<String> ended) {
    List<Order> halts = new ArrayList<>();
    for (WorkerReport.Piece piece : report.pieces()) {
      if (piece.status() != TaskStatus.ENDED && ended.contains(piece.task().job())) {
        halts.add(Order.halt(piece.task(), piece.attempt(), 0));
      }
    }
    return halts;
  }

  private void refuse(WorkerReport report, RenewalRefusal refusal, Responder out) {
    metrics.count(refusal.counter());
    if (lines.debug(loop.nowMicros())) {
      log.debug(
          "the lease of {} session {} is not renewed for the leader, token {}: {}",
          report.host(),
          report.incarnation(),
          report.fencingToken(),
          refusal.reason());
    }
    out.later(HttpStatus.UNAVAILABLE, refusal.reason(), 1);
  }

  private void logRefusal(WorkerReport report, DelegatedRenewal.Right right, String when) {
    if (lines.debug(loop.nowMicros())) {
      log.debug(
          "the lease of {} session {} is not renewed for the leader {}: it shows token {}, the"
              + " delegation has {}",
          report.host(),
          report.incarnation(),
          when,
          report.fencingToken(),
          right.token());
    }
  }

  /** Only what is more than the repetition of the last answer is worth a line. */
  private void logRenewal(WorkerReport report, DelegateEvidence evidence, List<Order> halts) {
    boolean raises = evidence.token() > report.fencingToken();
    if ((raises || !halts.isEmpty()) && lines.debug(loop.nowMicros())) {
      log.debug(
          "the lease of {} session {} is renewed for the leader, token {} for {}, ended jobs as of"
              + " {} ms ago, stops {}",
          report.host(),
          report.incarnation(),
          evidence.token(),
          report.fencingToken(),
          (loop.nowMicros() - evidence.endsKnownMicros()) / 1_000,
          halts);
    }
  }
}
