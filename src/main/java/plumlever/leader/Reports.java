package plumlever.leader;

import java.util.ArrayList;
import java.util.List;
import org.agrona.collections.LongHashSet;
import org.slf4j.Logger;
import plumlever.fleet.Attempt;
import plumlever.fleet.Enrolment;
import plumlever.fleet.Estimates;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.placement.Zones;
import plumlever.wire.ExitCause;
import plumlever.wire.Flavor;
import plumlever.wire.Order;
import plumlever.wire.TaskStatus;
import plumlever.wire.WorkerReport;

/** Learns from reports, and writes the orders that answer them. */
final class Reports {
  private static final double EPSILON = 1e-9;

  private final Logger log;
  private final Context context;
  private final Fleet fleet;
  private final Jobs jobs;
  private final Estimates estimates;
  private final Takeover takeover;
  private final Progress progress;
  private final long term;
  private boolean changed;

  Reports(
      Context context,
      Fleet fleet,
      Jobs jobs,
      Estimates estimates,
      Takeover takeover,
      Progress progress,
      long term) {
    this.context = context;
    this.log = context.logs().of(Reports.class);
    this.fleet = fleet;
    this.jobs = jobs;
    this.estimates = estimates;
    this.takeover = takeover;
    this.progress = progress;
    this.term = term;
  }

  /** True if anything changed that placement cares for, since asked last. */
  boolean takeChanged() {
    boolean c = changed;
    changed = false;
    return c;
  }

  /** What a report is worth. */
  enum News {
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
  News apply(Machine m, WorkerReport r, boolean own) {
    long now = context.loop().nowMicros();
    if ((m.tenure() > 0 || m.tick() > 0) && !r.newerThan(m.tenure(), m.tick())) {
      if (own && r.tenure() == m.tenure() && r.tick() > m.ownTick()) {
        m.overtaken(r.tick(), now);
        return News.OVERTAKEN;
      }
      // Copies come seconds to minutes late. They must neither bring back what is gone nor count as
      // a sign of life.
      return News.COPY;
    }
    boolean relapsed = m.tenure() > 0 && r.tenure() > m.tenure();
    if (r.tenure() > m.tenure()) {
      endSessionsBefore(m, r.tenure());
    }
    boolean first = !m.heard();
    boolean noticed = r.noticed() && m.reclaimAtMicros() < 0;
    m.heardAt(r, now, own);
    changed |= first && own;
    if (noticed) {
      changed = true;
      context.metrics().count("spot_notices");
      log.info("{} will be taken in {} s", m.id(), r.reclaimInS());
    }
    LongHashSet listed = new LongHashSet();
    boolean current = Fleet.termOf(r.baton()) == term;
    m.token(current ? r.baton() : 0);
    int foreign = 0;
    for (WorkerReport.Piece p : r.pieces()) {
      listed.add(p.attempt());
      Attempt a = m.attempt(p.attempt());
      if (a != null && a.task() == p.task().number() && a.job().uid().equals(p.task().job())) {
        update(a, p, now);
      } else if (a == null && current) {
        unknown(m, p, now);
      }
      if (p.status() != TaskStatus.ENDED && m.attempt(p.attempt()) == null) {
        foreign++;
      }
    }
    takeover.foreign(m, foreign);
    boolean lost = forgetGone(m, r, own, listed);
    if (own) {
      hears(m, r, lost || relapsed);
    }
    if (current && !m.accounted()) {
      takeover.accounted(m, own ? "it reported" : "it answered");
      changed = true;
    }
    return News.NEWS;
  }

  /**
   * Ends the attempts that the report proves the machine does not have; true if an order was lost.
   */
  private boolean forgetGone(Machine m, WorkerReport r, boolean own, LongHashSet listed) {
    List<Attempt> gone = null;
    for (Attempt a : m.attempts()) {
      if (listed.contains(a.id())) {
        continue;
      }
      // An order in an answer: the worker has taken it in or dropped it before it sent this. A
      // direct order: it may
      // be carried out late, until the worker has seen a higher token.
      if (a.directToken() >= 0
          ? r.baton() > a.directToken() || a.status() != null
          : own && a.sentTick() < r.tick()) {
        if (gone == null) {
          gone = new ArrayList<>();
        }
        gone.add(a);
      }
    }
    boolean lost = false;
    for (Attempt a : gone == null ? List.<Attempt>of() : gone) {
      if (!a.over()) {
        changed = true;
        lost |= a.status() == null;
        context.metrics().count(a.status() == null ? "runs_lost" : "attempts_vanished");
      }
      fleet.forget(a);
    }
    return lost;
  }

  /**
   * Looks whether what was sent before arrives: a machine's reports may come through although
   * nothing reaches it.
   */
  private void hears(Machine m, WorkerReport r, boolean lost) {
    boolean wasDeaf = m.deaf();
    if (m.answeredToken() > r.baton()) {
      m.unheard();
    } else if (lost) {
      m.unheard();
      // The next report tells by its token whether the next answer arrives.
      m.token(m.token() + 1);
    } else {
      m.heardAnswer();
    }
    if (m.deaf() != wasDeaf) {
      changed = true;
      context.metrics().count(wasDeaf ? "machines_hear_again" : "machines_deaf");
      log.info(
          "{} {}",
          m.id(),
          wasDeaf ? "takes answers again" : "reports, but nothing seems to reach it");
    }
  }

  /**
   * The worker answered that it carried nothing of this out, and it never will: its token or
   * session has moved on.
   */
  void refused(Iterable<Attempt> sent) {
    for (Attempt a : sent) {
      if (!a.over() && a.status() == null) {
        changed = true;
        context.metrics().count("runs_refused");
        fleet.forget(a);
      }
    }
  }

  /** A worker that starts a new session has killed and forgotten everything of the ones before. */
  void endSessionsBefore(Machine m, long tenure) {
    takeover.foreign(m, 0);
    List<Attempt> ended = new ArrayList<>();
    for (Attempt a : m.attempts()) {
      if (a.tenure() < tenure) {
        ended.add(a);
      }
    }
    for (Attempt a : ended) {
      if (!a.over()) {
        changed = true;
        context.metrics().count("attempts_lost");
      }
      fleet.forget(a);
    }
  }

  private void update(Attempt a, WorkerReport.Piece p, long now) {
    if (a.over()) {
      return;
    }
    boolean started = p.status() == TaskStatus.RUNNING && a.status() != TaskStatus.RUNNING;
    if (started && !a.job().begun()) {
      context.metrics().time("begin", now - a.job().acceptedMicros());
    }
    a.see(p.status(), now);
    if (started) {
      a.machine().hasImage(a.job().spec().bundle(), a.job().spec().imageGb());
      context.metrics().time("start", now - a.job().acceptedMicros());
      if (!a.adopted()) {
        // What images cost: room that is held while a task waits for its own.
        context
            .metrics()
            .count(
                "core_ms_fetching",
                (long) (a.job().spec().cores() * (now - a.sentMicros()) / 1_000));
      }
      if (log.isDebugEnabled()) {
        log.debug("{} runs on {}", a.name().wireName(), a.machine().id());
      }
    }
    if (p.status() == TaskStatus.ENDED) {
      ended(a, p.cause(), now);
    }
  }

  private void ended(Attempt a, ExitCause cause, long now) {
    Job job = a.job();
    Machine m = a.machine();
    changed = true;
    fleet.end(a, cause);
    switch (cause) {
      case DONE -> {
        job.noteSuccess();
        m.noteSuccess();
        if (a.runningSinceMicros() >= 0) {
          context
              .metrics()
              .count(
                  "core_ms_running",
                  (long) (job.spec().cores() * (now - a.runningSinceMicros()) / 1_000));
        }
        observe(a, now);
        if (log.isDebugEnabled()) {
          log.debug("{} done on {}", a.name().wireName(), m.id());
        }
        done(job, a.task());
      }
      case ERROR, NO_SUCH -> {
        job.noteError(now);
        context.metrics().count("task_errors");
        log.info("{} ended with {} on {}", a.name().wireName(), cause, m.id());
        if (cause == ExitCause.ERROR && m.noteError(job.uid())) {
          log.warn("{} fails the tasks of several jobs and is drained", m.id());
          m.drain();
        }
      }
      case HALTED -> {
        context.metrics().count("tasks_halted");
        if (a.runningSinceMicros() < 0 && !waitsFor(m, job.spec().bundle())) {
          m.dropFetch(job.spec().bundle());
        }
      }
      default -> {
        context.metrics().count("tasks_refused");
        log.info("{} was refused by {}: {}", a.name().wireName(), m.id(), cause);
      }
    }
  }

  private static boolean waitsFor(Machine m, String image) {
    for (Attempt a : m.attempts()) {
      if (!a.over() && a.job().spec().bundle().equals(image)) {
        return true;
      }
    }
    return false;
  }

  private void observe(Attempt a, long now) {
    if (a.runningSinceMicros() < 0 || a.adopted() || a.job().restarted(a.task())) {
      return;
    }
    double took = now - a.runningSinceMicros();
    double estimate = a.job().spec().expectS() * 1e6;
    if (estimate <= 0 || took <= 0) {
      return;
    }
    double planned = estimates.runMicros(a.job());
    a.machine().observe(took / planned);
    double ratio = took / a.machine().slowness() / estimate;
    a.job().observe(ratio);
    estimates.observe(a.job().spec().jobclass(), ratio);
  }

  private void done(Job job, int task) {
    if (job.over() || job.done().get(task)) {
      return;
    }
    job.markDone(task);
    context.metrics().count("tasks_done");
    progress.taskDone(job, task);
  }

  /** A task this leader did not start there. */
  private void unknown(Machine m, WorkerReport.Piece p, long now) {
    Job job = jobs.get(p.task().job());
    if (job == null || job.over() || p.task().number() >= job.spec().pieces()) {
      return;
    }
    int task = p.task().number();
    if (p.status() == TaskStatus.ENDED) {
      if (p.cause() == ExitCause.DONE) {
        Attempt other = job.liveAttempt(task);
        if (other != null) {
          other.halt(0, now);
        }
        done(job, task);
        changed = true;
      }
      return;
    }
    // Only the report that accounts for a machine may bring attempts of earlier terms: one that was
    // held back until
    // after the lease had lapsed lists tasks that are dead.
    if (!m.accounted()
        && fleet.ofEarlierTerm(p.attempt())
        && job.inherited()
        && !job.done().get(task)
        && job.liveAttempt(task) == null) {
      Attempt a = fleet.adopt(job, task, p.attempt(), m, now);
      a.see(p.status(), now);
      if (p.status() == TaskStatus.RUNNING) {
        m.hasImage(job.spec().bundle(), job.spec().imageGb());
      } else if (context.prices().flavor(m.flavor()) != null) {
        m.useImage(
            job.spec().bundle(), job.spec().imageGb(), context.prices().flavor(m.flavor()), now);
      }
      changed = true;
      context.metrics().count("attempts_adopted");
    } else if (job.liveAttempt(task) != null) {
      // Mostly a report that was held back in the network; if not, the halt that answers it comes
      // in time.
      log.info(
          "{} is reported by {} and runs on {}",
          p.task().wireName(),
          m.id(),
          job.liveAttempt(task).machine().id());
    }
  }

  /**
   * True if the machine has tasks of jobs that are not known here to have ended; halts of the
   * others go with any answer.
   */
  boolean holdsOpenTasks(WorkerReport r) {
    for (WorkerReport.Piece p : r.pieces()) {
      if (p.status() != TaskStatus.ENDED && jobs.get(p.task().job()) != null) {
        return true;
      }
    }
    return false;
  }

  /** The orders that go without a plan: halts, and what the worker may forget. */
  List<Order> standing(Machine m, WorkerReport r) {
    long now = context.loop().nowMicros();
    List<Order> orders = new ArrayList<>();
    // A worker that has forgotten an attempt would start it again from a late copy of a direct
    // order. So nothing is
    // reaped until the answer that says so also makes such copies void, which has to wait for one
    // still under way.
    if (m.directOpen() && !m.calling()) {
      m.voidDirect();
    }
    boolean mayReap = !m.directOpen();
    for (Attempt a : m.attempts()) {
      if (a.over()) {
        if (mayReap
            && a.cause() != null
            && (a.cause() != ExitCause.DONE || a.job().over() || a.job().stored().get(a.task()))) {
          orders.add(Order.reap(a.name(), a.id()));
        }
      } else {
        if (a.job().over() || a.job().calledOff() || a.job().done().get(a.task())) {
          a.halt(0, now);
        }
        if (a.halting()) {
          orders.add(Order.halt(a.name(), a.id(), a.windDownS()));
        }
      }
    }
    boolean current = Fleet.termOf(r.baton()) == term;
    for (WorkerReport.Piece p : r.pieces()) {
      if (m.attempt(p.attempt()) != null) {
        continue;
      }
      Job job = jobs.get(p.task().job());
      if (p.status() != TaskStatus.ENDED) {
        // A report that shows an earlier term does not account for its machine, but tasks of jobs
        // that have ended are
        // halted by the first answer: it renews their lease, and the machine may not hear another
        // one.
        if (current || job == null) {
          orders.add(Order.halt(p.task(), p.attempt(), 0));
        }
      } else if (current
          && mayReap
          && (job == null || p.cause() != ExitCause.DONE || job.stored().get(p.task().number()))) {
        orders.add(Order.reap(p.task(), p.attempt()));
      }
    }
    return orders;
  }

  /** Takes the tasks planned for the machine, each rule checked again as the order is written. */
  List<Attempt> start(
      Machine m, Iterable<Round.Planned> planned, boolean direct, List<Order> orders) {
    Flavor f = context.prices().flavor(m.flavor());
    if (f == null
        || !jobs.mayRenew()
        || m.draining()
        || m.returning()
        || m.enrolment() != Enrolment.STORED
        || !m.accounted()
        || m.deaf()) {
      return List.of();
    }
    List<Attempt> started = new ArrayList<>();
    double cores = f.cores();
    double accelerators = f.accelerators();
    double memory = f.memoryGb();
    for (Attempt a : m.attempts()) {
      if (!a.over()) {
        cores -= a.job().spec().cores();
        accelerators -= a.job().spec().accelerators();
        memory -= a.job().spec().memoryGb();
      }
    }
    long now = context.loop().nowMicros();
    for (Round.Planned p : planned) {
      Job job = p.job;
      if (job.over()
          || job.calledOff()
          || job.waiting()
          || job.enrolment() != Enrolment.STORED
          || takeover.blocks(job)
          || !job.spec().allows(m.flavor(), m.site(), m.spot())) {
        continue;
      }
      Zones zones = Round.zones(job);
      for (int i = 0; i < p.tasks && job.hasFree(); i++) {
        if (cores + EPSILON < job.spec().cores()
            || memory + EPSILON < job.spec().memoryGb()
            || accelerators + EPSILON < job.spec().accelerators()
            || !zones.allows(m.site())
            || takeover.quotaRoom(job) < 1) {
          break;
        }
        int task = job.firstFree();
        Attempt a = fleet.start(job, task, m, direct, now);
        started.add(a);
        zones.add(m.site());
        cores -= job.spec().cores();
        accelerators -= job.spec().accelerators();
        memory -= job.spec().memoryGb();
        m.useImage(job.spec().bundle(), job.spec().imageGb(), f, now);
        orders.add(Order.run(a.name(), a.id()));
        context.metrics().count("runs_ordered");
        context.metrics().time("wait", now - job.releasedMicros());
        if (log.isDebugEnabled()) {
          log.debug("{} goes to {}", a.name().wireName(), m.id());
        }
      }
    }
    return started;
  }
}
