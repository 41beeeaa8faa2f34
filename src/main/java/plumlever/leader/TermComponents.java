package plumlever.leader;

import java.util.HashSet;
import java.util.Set;
import plumlever.concurrent.RecurringTask;
import plumlever.concurrent.Scope;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.fleet.RunTimeEstimates;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.failover.WarmState;
import plumlever.leader.heartbeat.DeferredHeartbeats;
import plumlever.leader.heartbeat.HeartbeatHandler;
import plumlever.leader.heartbeat.HeartbeatResponses;
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
import plumlever.sharing.PoolView;
import plumlever.store.RecordLayout;
import plumlever.wire.Heartbeat;

/**
 * The components that work for the leader during one term. Creates them, loads the records of
 * earlier leaders into them, and starts them. All components are closed when the term ends.
 */
final class TermComponents {
  private final TermContext context;
  private final Fleet fleet;
  private final RunTimeEstimates estimates = new RunTimeEstimates();
  private final StartedJobIndex startedJobs;
  private final ActiveJobs jobs;
  private final Failover failover;
  private final ProgressWriter progress;
  private final HeartbeatHandler heartbeats;
  private final SchedulingPass pass;
  private final CommandSender commands;
  private final SchedulingPasses passes;
  private final MachineRegistry registry;
  private final MachineSharing sharing;
  private final MachineManager machines;
  private final WarmState warmState;
  private final DependencyListCleanup dependencyListCleanup;
  private final TokenRaiser tokenRaiser;
  private final HeartbeatResponder responder;

  /** Creates the components of the term. They do nothing until they are started. */
  TermComponents(TermContext context, DeferredHeartbeats deferredHeartbeats) {
    this.context = context;
    this.fleet = new Fleet(context.term().number());
    this.startedJobs = new StartedJobIndex(context, this::startedJobsRecorded);
    this.jobs = new ActiveJobs(context, startedJobs, this::requestPass);
    this.failover = new Failover(context, fleet, this::sharing);
    this.progress = new ProgressWriter(context, jobs);
    this.heartbeats =
        new HeartbeatHandler(context, fleet, jobs, estimates, failover, progress, this::sharing);
    TaskStarter starter = new TaskStarter(context, fleet, jobs, failover);
    this.pass = new SchedulingPass(context, fleet, jobs, startedJobs, estimates, failover);
    jobs.useTaskDurations(pass::durationMicros);
    RenewalDelegation delegation = new RenewalDelegation(context, fleet);
    this.commands =
        new CommandSender(
            context,
            jobs,
            pass,
            heartbeats,
            starter,
            delegation,
            this::requestPass,
            this::directResponseApplied);
    this.passes = new SchedulingPasses(context, fleet, pass, commands);
    this.registry = new MachineRegistry(context, this::requestPass);
    this.sharing = createSharing();
    this.machines = createMachineManager(delegation);
    this.warmState = new WarmState(context, fleet, estimates);
    this.dependencyListCleanup = new DependencyListCleanup(context, jobs);
    HeartbeatResponses responses = new HeartbeatResponses(context, jobs, sharing);
    RenewalsAwaitingToken awaitingToken = new RenewalsAwaitingToken(context, responses, commands);
    this.tokenRaiser = new TokenRaiser(context, fleet, failover, commands, awaitingToken);
    this.responder = createResponder(deferredHeartbeats, starter, responses, awaitingToken);
  }

  private MachineSharing createSharing() {
    return context
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
                    this::requestPass))
        .orElse(MachineSharing.NONE);
  }

  private MachineManager createMachineManager(RenewalDelegation delegation) {
    return new MachineManager(
        context,
        fleet,
        registry,
        pass,
        heartbeats,
        commands,
        delegation,
        failover,
        sharing,
        this::requestPass);
  }

  private HeartbeatResponder createResponder(
      DeferredHeartbeats deferredHeartbeats,
      TaskStarter starter,
      HeartbeatResponses responses,
      RenewalsAwaitingToken awaitingToken) {
    return new HeartbeatResponder(
        context,
        fleet,
        heartbeats,
        registry,
        sharing,
        passes,
        failover,
        new HeartbeatScreening(context, machines, sharing, deferredHeartbeats, responses),
        new LeaseRenewalResponder(
            context,
            heartbeats,
            responses,
            sharing,
            new PlannedStarts(pass, starter),
            commands,
            awaitingToken));
  }

  private void directResponseApplied(Machine machine, Heartbeat response) {
    responder.directResponseApplied(machine, response);
  }

  private void requestPass() {
    passes.request();
  }

  private void startedJobsRecorded() {
    passes.startedJobsRecorded();
  }

  /**
   * Returns the machines that may execute start commands which this leader or an earlier one sent
   * in direct calls and which are neither answered nor void.
   */
  Set<String> unsettledMachines() {
    Set<String> unsettled = new HashSet<>();
    for (Machine machine : fleet.machines()) {
      if (machine.load().hasUnconfirmedStart() || machine.mayExecuteEarlierCommands()) {
        unsettled.add(machine.id());
      }
    }
    return unsettled;
  }

  MachineSharing sharing() {
    return sharing;
  }

  ActiveJobs jobs() {
    return jobs;
  }

  Failover failover() {
    return failover;
  }

  HeartbeatResponder responder() {
    return responder;
  }

  /** Loads the records of earlier leaders. */
  void load(RecoveryRead recoveryRead) {
    registry.load(recoveryRead.listing(RecordLayout.FLEET).items(), fleet);
    warmState.load(recoveryRead.listing(RecordLayout.WARM_STATE).items());
    jobs.load(recoveryRead);
    if (sharing.inPool()) {
      sharing.poolRecordsRead(
          recoveryRead.listing(PoolView.PREFIX), recoveryRead.jobsReadSentMicros());
    }
    responder.recordsLoaded();
    failover.machinesLoaded();
    progress.adoptStoredProgress();
  }

  /**
   * Stores the end of the jobs whose tasks are all complete. An earlier leader may have stored the
   * completion of a job's last task but not the end of the job.
   */
  void endCompleteJobs() {
    jobs.all()
        .forEach(
            job -> {
              if (job.complete()) {
                progress.taskDone(job, 0);
              }
            });
  }

  /** Starts all recurring tasks. The scope closes the components in reverse order. */
  void start(Scope scope) {
    scope.own(sharing::close);
    scope.own(jobs::close);
    scope.own(startedJobs::close);
    scope.own(progress::close);
    scope.own(machines::close);
    scope.own(commands::close);
    scope.own(registry::close);
    scope.own(dependencyListCleanup::close);
    startTask(scope, "machine records", registry::cleanUp);
    startTask(scope, "started jobs", startedJobs::cleanUp);
    startTask(scope, "progress", progress::write);
    startTask(scope, "machines", machines::runOnce);
    startTask(scope, "warm state", warmState::write);
    startTask(scope, "token raise", tokenRaiser::run);
    scope
        .own(new RecurringTask("dependency lists", context.loop(), dependencyListCleanup::run))
        .scheduleAfter(DependencyListCleanup.INTERVAL_MICROS);
    startTask(scope, "scheduling passes", passes::run);
  }

  private void startTask(Scope scope, String name, RecurringTask.Action action) {
    scope.own(new RecurringTask(name, context.loop(), action)).start();
  }
}
