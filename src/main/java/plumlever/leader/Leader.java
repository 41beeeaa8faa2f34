package plumlever.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import plumlever.concurrent.RecurringTask;
import plumlever.concurrent.Scope;
import plumlever.fleet.Attempt;
import plumlever.fleet.Estimates;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.fleet.RegistrationState;
import plumlever.http.Responder;
import plumlever.leader.context.Context;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.failover.Failover;
import plumlever.leader.failover.WarmState;
import plumlever.leader.heartbeat.EarlyHeartbeats;
import plumlever.leader.heartbeat.HeartbeatAnswers;
import plumlever.leader.heartbeat.HeartbeatHandler;
import plumlever.leader.heartbeat.RenewalDelegation;
import plumlever.leader.job.ActiveJobs;
import plumlever.leader.job.DependencyListCleanup;
import plumlever.leader.job.StartedJobIndex;
import plumlever.leader.machine.MachineManager;
import plumlever.leader.machine.MachineRegistry;
import plumlever.leader.pool.PoolSharing;
import plumlever.leader.progress.ProgressWriter;
import plumlever.leader.record.RecoveryRead;
import plumlever.leader.scheduling.CommandSender;
import plumlever.leader.scheduling.SchedulingPass;
import plumlever.leader.scheduling.TaskStarter;
import plumlever.lease.RenewalRefusal;
import plumlever.sharing.PoolView;
import plumlever.store.JobStore;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;
import plumlever.wire.JobState;
import plumlever.wire.RelayedHeartbeat;
import plumlever.wire.WorkerCommand;

/**
 * One term of leadership: everything the leading controller knows and does, from election until it
 * leaves.
 */
public final class Leader implements AutoCloseable {
  private static final long PASS_EVERY_MICROS = 150_000;
  private static final long PASS_PAUSE_MOST_MICROS = 1_500_000;
  private static final int PASS_PAUSE_TIMES = 3;
  private static final long SLICE_PAUSE_MICROS = 5_000;
  private static final long RAISE_UNREACHABLE_EVERY_MICROS = 4_000_000;
  private static final long RAISE_EVERY_MICROS = 100_000;
  private static final long ANSWER_SHOWS_MICROS = 2_000_000;
  private static final long LATE_MICROS = 50_000;

  /** The next heartbeat comes within so many usual pauses. */
  private static final double HEARTBEAT_PAUSES = 1.5;

  /** Calls under way at a time while late: enough to find out those that are gone. */
  private static final int MOST_RAISES_LATE = 6;

  private final Logger log;
  private final Context context;
  private final long term;
  private final Scope scope = new Scope();
  private final Fleet fleet;
  private final StartedJobIndex startedJobs;
  private final ActiveJobs jobs;
  private final Estimates estimates = new Estimates();
  private final RecoveryRead records;
  private final Failover failover;
  private final ProgressWriter progress;
  private final HeartbeatHandler heartbeats;
  private final TaskStarter starter;
  private final SchedulingPass pass;
  private final MachineRegistry registry;
  private final MachineManager machines;
  private final WarmState warmState;
  private final CommandSender commands;
  private final RecurringTask passes;
  private final EarlyHeartbeats early;
  private final DependencyListCleanup lists;
  private final MachineSharing sharing;
  private final HeartbeatAnswers answers;
  private boolean loaded;
  private boolean due = true;

  /** A leader for one term, which does nothing until it is started. */
  public Leader(Context context) {
    this.context = context;
    this.log = context.logs().of(Leader.class);
    this.term = context.term().number();
    this.fleet = new Fleet(term);
    this.startedJobs = new StartedJobIndex(context, this::recorded);
    this.jobs = new ActiveJobs(context, startedJobs, this::changed);
    this.records = new RecoveryRead(context);
    this.failover = new Failover(context, fleet, this::sharing);
    this.progress = new ProgressWriter(context, jobs);
    this.heartbeats =
        new HeartbeatHandler(context, fleet, jobs, estimates, failover, progress, this::sharing);
    this.starter = new TaskStarter(context, fleet, jobs, failover);
    this.pass = new SchedulingPass(context, fleet, jobs, startedJobs, estimates, failover);
    jobs.costs(pass::costMicros);
    RenewalDelegation delegation = new RenewalDelegation(context, fleet);
    this.commands =
        new CommandSender(context, jobs, pass, heartbeats, starter, delegation, this::changed);
    this.registry = new MachineRegistry(context, this::changed);
    this.sharing =
        context
            .sharing()
            .<MachineSharing>map(
                settings ->
                    new PoolSharing(
                        context,
                        settings,
                        fleet,
                        jobs,
                        registry,
                        heartbeats,
                        pass,
                        failover,
                        commands,
                        this::changed))
            .orElse(MachineSharing.NONE);
    this.answers = new HeartbeatAnswers(context, jobs, sharing);
    this.machines =
        new MachineManager(
            context,
            fleet,
            registry,
            pass,
            heartbeats,
            commands,
            delegation,
            failover,
            sharing,
            this::changed);
    this.warmState = new WarmState(context, fleet, estimates);
    this.early = new EarlyHeartbeats(context.loop(), context.platform().socketLimit());
    this.lists = new DependencyListCleanup(context, jobs);
    this.passes = new RecurringTask("scheduling passes", context.loop(), this::runPass);
  }

  private MachineSharing sharing() {
    return sharing;
  }

  /** True while this leader's own term lasts. */
  public boolean mayAct() {
    return context.term().mayAct();
  }

  public void start() {
    records.read(this::loaded);
  }

  private void loaded(RecoveryRead found) {
    registry.load(found.under(JobStore.FLEET).items(), fleet);
    warmState.load(found.under(JobStore.WARM_STATE).items());
    jobs.load(found);
    if (sharing.inPool()) {
      sharing.loaded(found.under(PoolView.PREFIX), found.askedMicros());
    }
    loaded = true;
    failover.loaded();
    progress.loaded();
    int count = 0;
    for (Job job : jobs.all()) {
      if (job.complete()) {
        progress.taskDone(job, 0);
      }
      count++;
    }
    log.info(
        "term {} begins with {} jobs and {} machines to account for, {} ms after election",
        term,
        count,
        failover.open().size(),
        (context.loop().nowMicros() - failover.startedMicros()) / 1_000);
    early.release(this::heartbeat);
    scope.own(sharing::close);
    scope.own(jobs::close);
    scope.own(startedJobs::close);
    scope.own(progress::close);
    scope.own(machines::close);
    scope.own(commands::close);
    scope.own(registry::close);
    scope.own(lists::close);
    scope.own(new RecurringTask("machine records", context.loop(), registry::tidy)).start();
    scope.own(new RecurringTask("started jobs", context.loop(), startedJobs::tidy)).start();
    scope.own(new RecurringTask("progress", context.loop(), progress::write)).start();
    scope.own(new RecurringTask("machines", context.loop(), machines::turn)).start();
    scope.own(new RecurringTask("warm state", context.loop(), warmState::write)).start();
    scope.own(new RecurringTask("token raise", context.loop(), this::raise)).start();
    scope
        .own(new RecurringTask("dependency lists", context.loop(), lists::run))
        .wakeIn(DependencyListCleanup.EVERY_MICROS);
    scope.own(passes).start();
  }

  /**
   * Shows the token to machines not accounted for, without waiting for their heartbeats; and now
   * and then to those that nothing seems to reach, whose heartbeats are not answered meanwhile.
   */
  private long raise() {
    long since = context.loop().nowMicros();
    raiseOpen();
    context.metrics().spent("token_raise", context.loop().nowMicros() - since);
    return failover.complete() ? RAISE_UNREACHABLE_EVERY_MICROS : RAISE_EVERY_MICROS;
  }

  private void raiseOpen() {
    if (context.term().mayAct()) {
      long now = context.loop().nowMicros();
      // Those that did not answer come last: dozens behind a cut would else be called again and
      // again, and nobody else.
      List<Machine> open = new ArrayList<>(failover.open());
      open.sort(Comparator.comparingInt(machine -> machine.contact().failedCalls()));
      // Where time is short, calls make way for the heartbeats that come anyhow: both tell the
      // same, and all machines that still work report within seconds.
      int most =
          context.latenessMicros().getAsLong() > LATE_MICROS ? MOST_RAISES_LATE : Integer.MAX_VALUE;
      for (Machine machine : open) {
        if (commands.tokenRaisesInFlight() >= most) {
          break;
        }
        // One whose report was just answered shows the token with its next.
        if (machine.contact().lastAnswerMicros() < 0
            || now - machine.contact().lastAnswerMicros() > ANSWER_SHOWS_MICROS) {
          commands.raiseToken(machine);
        }
      }
      if (failover.complete()) {
        for (Machine machine : fleet.machines()) {
          if (machine.contact().unreachable()) {
            commands.raiseToken(machine);
          }
        }
      }
    }
  }

  /** What was planned for jobs that had to be recorded first can go out now. */
  private void recorded() {
    due = true;
    commands.dispatch(fleet);
  }

  private void changed() {
    due = true;
  }

  /**
   * Rounds are gathered: each pauses for a few times what the last one took, so that requests come
   * first.
   */
  private long runPass() {
    if (!due || !context.term().mayAct()) {
      return PASS_EVERY_MICROS;
    }
    if (fleet.numbersRunOut()) {
      endTermForNumbers();
      return PASS_EVERY_MICROS;
    }
    long since = context.loop().nowMicros();
    boolean finished = pass.run();
    long placed = context.loop().nowMicros();
    commands.dispatch(fleet);
    context.metrics().spent("passes", placed - since);
    context.metrics().spent("dispatch", context.loop().nowMicros() - placed);
    if (!finished) {
      return SLICE_PAUSE_MICROS;
    }
    due = false;
    // A thread that runs late has reports and requests before it that come first.
    long pause =
        PASS_PAUSE_TIMES * Math.max(pass.spentMicros(), context.latenessMicros().getAsLong());
    return Math.max(PASS_EVERY_MICROS, Math.min(PASS_PAUSE_MOST_MICROS, pause));
  }

  /** A new term starts all numbers anew; this controller may take it itself. */
  private void endTermForNumbers() {
    context.election().resign(context.term(), "the numbers of this term run out", 0);
  }

  /** Answers a worker's heartbeat; the caller has checked that this controller leads. */
  public void heartbeat(Heartbeat heartbeat, Responder out) {
    if (answeredWithoutTakingIn(heartbeat, out)) {
      return;
    }
    Machine machine = known(heartbeat);
    if (fleet.tokensRunOut(machine)) {
      endTermForNumbers();
    }
    HeartbeatHandler.News news = heartbeats.apply(machine, heartbeat, true);
    if (heartbeats.takeChanged()) {
      due = true;
    }
    if (news == HeartbeatHandler.News.COPY) {
      context.metrics().count("heartbeat_copies");
      out.later(HttpStatus.UNAVAILABLE, "a newer report is known", 1);
    } else if (machine.contact().unreachable()) {
      // Were it answered, its lease would count as renewed for ever, and nobody else could have its
      // tasks.
      out.later(HttpStatus.UNAVAILABLE, "answers do not arrive", 1);
    } else {
      takeIn(machine, heartbeat, news);
      renew(machine, heartbeat, news, out);
    }
  }

  /** Answers a heartbeat that tells this leader nothing: it must not act on it, or not yet. */
  private boolean answeredWithoutTakingIn(Heartbeat heartbeat, Responder out) {
    if (!context.term().mayAct()) {
      out.later(HttpStatus.UNAVAILABLE, "not in office", 1);
      return true;
    }
    if (sharing.answered(heartbeat, out)) {
      return true;
    }
    if (!sharing.inPool() && Fleet.termOf(heartbeat.fencingToken()) > term) {
      // Somebody holds a later term, so this one is over whatever this controller believes.
      context
          .election()
          .resign(
              context.term(),
              "a worker has seen term " + Fleet.termOf(heartbeat.fencingToken()),
              1_000_000);
      out.later(HttpStatus.UNAVAILABLE, "not in office", 1);
      return true;
    }
    if (machines.isDeleted(heartbeat.machineId())) {
      out.later(HttpStatus.UNAVAILABLE, "this machine was returned", 1);
      return true;
    }
    if (!loaded && heartbeat.holdsTasks()) {
      early.keep(heartbeat, out);
    } else if (!loaded) {
      answers.sendToIdle(heartbeat, out);
    }
    return !loaded;
  }

  /** The machine of the heartbeat, which may be heard of for the first time. */
  private Machine known(Heartbeat heartbeat) {
    Machine machine = fleet.machine(heartbeat.machineId());
    if (machine == null) {
      machine =
          new Machine(
              heartbeat.machineId(),
              heartbeat.endpoint(),
              heartbeat.machineType(),
              heartbeat.zone(),
              heartbeat.spot(),
              context.loop().nowMicros());
      fleet.add(machine);
    }
    machine.learnEndpoint(heartbeat.endpoint());
    return machine;
  }

  /** What follows from a heartbeat that may be answered, whether or not the lease is renewed. */
  private void takeIn(Machine machine, Heartbeat heartbeat, HeartbeatHandler.News news) {
    if (machine.registration() == RegistrationState.NONE
        && !machine.returning()
        && (machine.accounted() || heartbeat.fencingToken() == 0)) {
      // A heartbeat that shows an earlier term may be a late copy of a machine that is gone:
      // nothing is recorded for it.
      registry.enroll(machine);
    }
    if (news == HeartbeatHandler.News.NEWS) {
      notice(machine, heartbeat, context.loop().nowMicros());
    }
    sharing.reported(machine, heartbeat);
  }

  /** Renews the lease, with all commands that are due, if there is evidence enough for it. */
  private void renew(
      Machine machine, Heartbeat heartbeat, HeartbeatHandler.News news, Responder out) {
    boolean holdsOpenTasks = heartbeats.holdsOpenTasks(heartbeat);
    Optional<RenewalRefusal> refusal = answers.refusal(machine, holdsOpenTasks);
    if (refusal.isPresent()) {
      answers.refuse(heartbeat, refusal.get(), out);
      if (refusal.get() == RenewalRefusal.UNANSWERED_COMMAND) {
        // With a higher token the command is void, and the next heartbeat may be answered.
        commands.raiseToken(machine);
      }
      return;
    }
    List<WorkerCommand> responseCommands = heartbeats.standingCommands(machine, heartbeat);
    responseCommands.addAll(sharing.guestCommands(machine, heartbeat));
    if (news == HeartbeatHandler.News.NEWS
        && machine.tokens().areOfTermOf(heartbeat.fencingToken())
        && pass.hasPlan(machine)
        && pass.hasRecordedPlan(machine)
        && !machine.load().hasUnconfirmedStart()) {
      starter.start(machine, pass.planned(machine), false, responseCommands);
      pass.dropPlan(machine);
    }
    // Checked once more: a turn that ran late may have outlived the right to act.
    if (answers.send(machine, heartbeat, holdsOpenTasks, responseCommands, out)) {
      machine.answered(context.loop().nowMicros());
    }
  }

  /**
   * A machine about to be taken: tasks that can save are stopped in time, others are left to finish
   * if they can.
   */
  private void notice(Machine machine, Heartbeat heartbeat, long now) {
    if (!heartbeat.noticed()) {
      return;
    }
    for (Attempt attempt : machine.load().attempts()) {
      if (!attempt.over() && attempt.job().spec().checkpoints()) {
        double save = attempt.job().spec().checkpointS();
        // The next heartbeat comes within a few seconds; what could not be saved after it is saved
        // now.
        double slack = HEARTBEAT_PAUSES * context.platform().workers().heartbeatMicros() / 1e6 + 1;
        if (heartbeat.preemptionNoticeS() <= save + slack + 2) {
          attempt.stop(save + 1, now);
        }
      }
    }
  }

  /**
   * Gives a machine to another cell at an operator's wish.
   *
   * @return false if it is not one that can be given now
   */
  public boolean transfer(String machine, String cell) {
    return sharing.offer(machine, cell);
  }

  /** Another cell's leader passes on what a machine of its tells of this cell's tasks. */
  public void relayed(RelayedHeartbeat relayed, Responder out) {
    sharing.relayed(relayed, out);
  }

  /** True once nothing that earlier leaders started is unknown. */
  public boolean failoverComplete() {
    return failover.complete();
  }

  /** The job as this leader knows it, or null. */
  public Job job(String uid) {
    return loaded ? jobs.get(uid) : null;
  }

  /** Finished and running tasks of a job for display, or null if it is not known here. */
  public int[] counts(String uid) {
    Job job = loaded ? jobs.get(uid) : null;
    return job == null ? null : new int[] {job.doneCount(), job.liveCount()};
  }

  /** Adds the finished and running tasks of each job, for display at other controllers. */
  public java.util.Map<String, int[]> allCounts(java.util.Map<String, int[]> into) {
    if (loaded) {
      jobs.all().forEach(j -> into.put(j.uid(), new int[] {j.doneCount(), j.liveCount()}));
    }
    return into;
  }

  /** The job's end is stored; its tasks are stopped without waiting for the watch events. */
  public void jobCancelled(String uid) {
    if (loaded) {
      jobs.ended(uid, JobState.CANCELLED);
    }
  }

  /** Advice of another controller, which may only stop more. */
  public void cancellationsConfirmed(Collection<String> uids) {
    if (loaded) {
      jobs.cancellationsConfirmed(uids);
    }
  }

  @Override
  public void close() {
    records.close();
    early.close();
    scope.close();
    jobs.close();
  }
}
