package plumlever.leader.scheduling;

import java.util.ArrayList;
import java.util.List;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.fleet.RegistrationState;
import plumlever.fleet.StartChannel;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.heartbeat.AttemptLog;
import plumlever.leader.job.ActiveJobs;
import plumlever.placement.Zones;
import plumlever.wire.MachineType;
import plumlever.wire.WorkerCommand;

/**
 * Starts planned tasks. Checks all constraints on a start once more, immediately before the command
 * is sent.
 */
public final class TaskStarter {
  private final TermContext context;
  private final Fleet fleet;
  private final ActiveJobs jobs;
  private final Failover failover;
  private final AttemptLog attemptLog;

  /** Creates a starter for the given jobs and fleet. */
  public TaskStarter(TermContext context, Fleet fleet, ActiveJobs jobs, Failover failover) {
    this.context = context;
    this.attemptLog = new AttemptLog(context);
    this.fleet = fleet;
    this.jobs = jobs;
    this.failover = failover;
  }

  /**
   * Starts the tasks planned for the machine as far as all constraints still allow. The caller must
   * send the commands with the message that is being written now.
   *
   * @param channel how the commands are sent
   * @param commands receives the commands
   * @return the new attempts; empty if no task may start on the machine
   */
  public List<Attempt> start(
      Machine machine,
      Iterable<PlannedTasks> planned,
      StartChannel channel,
      List<WorkerCommand> commands) {
    MachineType machineType = context.typeCatalog().machineType(machine.machineType());
    if (machineType == null || !mayStartOn(machine)) {
      return List.of();
    }
    List<Attempt> started = new ArrayList<>();
    FreeCapacity free = FreeCapacity.of(machine, machineType);
    long nowMicros = context.loop().nowMicros();
    for (PlannedTasks tasks : planned) {
      Job job = tasks.job();
      if (!mayStart(job, machine)) {
        continue;
      }
      Zones zones = JobZones.of(job);
      for (int i = 0; i < tasks.count() && job.hasPending(); i++) {
        if (!free.fits(job.spec())
            || !zones.allows(machine.zone())
            || failover.quotaHeadroom(job) < 1) {
          break;
        }
        Attempt attempt =
            fleet.startAttempt(job, job.nextPendingTask(), machine, channel, nowMicros);
        started.add(attempt);
        zones.add(machine.zone());
        free.reserve(job.spec());
        machine
            .images()
            .recordUse(job.spec().image(), job.spec().imageGb(), machineType, nowMicros);
        commands.add(WorkerCommand.run(attempt.name(), attempt.id()));
        recordStart(attempt, channel, nowMicros);
      }
    }
    return started;
  }

  private boolean mayStartOn(Machine machine) {
    return jobs.mayStartOrRenew()
        && !machine.draining()
        && !machine.returning()
        && !machine.transferring()
        && machine.registration() == RegistrationState.STORED
        && machine.accounted()
        && !machine.contact().unreachable();
  }

  private boolean mayStart(Job job, Machine machine) {
    return JobQueue.mayRun(job)
        && job.registration() == RegistrationState.STORED
        && !failover.blocks(job)
        && job.retryNotBeforeMicros() <= context.loop().nowMicros()
        && job.spec().allows(machine.machineType(), machine.zone(), machine.spot());
  }

  private void recordStart(Attempt attempt, StartChannel channel, long nowMicros) {
    context.metrics().count("starts_sent");
    context.metrics().recordDuration("wait", nowMicros - attempt.job().releasedMicros());
    attemptLog.started(attempt, channel, jobs.endedJobsReadMicros());
  }
}
