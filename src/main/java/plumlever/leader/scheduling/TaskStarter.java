package plumlever.leader.scheduling;

import java.util.ArrayList;
import java.util.List;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.fleet.RegistrationState;
import plumlever.leader.context.Context;
import plumlever.leader.failover.Failover;
import plumlever.leader.heartbeat.AttemptLog;
import plumlever.leader.job.ActiveJobs;
import plumlever.placement.Zones;
import plumlever.wire.JobSpec;
import plumlever.wire.MachineType;
import plumlever.wire.WorkerCommand;

/** Starts planned tasks: the last place where every rule about a start is checked. */
public final class TaskStarter {
  private static final double EPSILON = 1e-9;

  /** What is free on a machine, while tasks are added to it. */
  private static final class FreeCapacity {
    private double cores;
    private double accelerators;
    private double memoryGb;

    FreeCapacity(Machine machine, MachineType machineType) {
      cores = machineType.cores() - machine.load().guests().cores();
      accelerators = machineType.accelerators() - machine.load().guests().accelerators();
      memoryGb = machineType.memoryGb() - machine.load().guests().memoryGb();
      for (Attempt attempt : machine.load().attempts()) {
        if (!attempt.over()) {
          take(attempt.job().spec());
        }
      }
    }

    boolean holds(JobSpec job) {
      return cores + EPSILON >= job.cores()
          && memoryGb + EPSILON >= job.memoryGb()
          && accelerators + EPSILON >= job.accelerators();
    }

    void take(JobSpec job) {
      cores -= job.cores();
      accelerators -= job.accelerators();
      memoryGb -= job.memoryGb();
    }
  }

  private final Context context;
  private final Fleet fleet;
  private final ActiveJobs jobs;
  private final Failover failover;
  private final AttemptLog attemptLog;

  /** Starts tasks of these jobs on machines of the fleet. */
  public TaskStarter(Context context, Fleet fleet, ActiveJobs jobs, Failover failover) {
    this.context = context;
    this.attemptLog = new AttemptLog(context);
    this.fleet = fleet;
    this.jobs = jobs;
    this.failover = failover;
  }

  /** Takes the tasks planned for the machine, each rule checked again as the command is written. */
  public List<Attempt> start(
      Machine machine,
      Iterable<PlannedTasks> planned,
      boolean direct,
      List<WorkerCommand> commands) {
    MachineType machineType = context.prices().machineType(machine.machineType());
    if (machineType == null
        || !jobs.mayRenew()
        || machine.draining()
        || machine.returning()
        || machine.offered()
        || machine.registration() != RegistrationState.STORED
        || !machine.accounted()
        || machine.contact().unreachable()) {
      return List.of();
    }
    List<Attempt> started = new ArrayList<>();
    FreeCapacity room = new FreeCapacity(machine, machineType);
    long now = context.loop().nowMicros();
    for (PlannedTasks otherPlanned : planned) {
      Job job = otherPlanned.job();
      if (job.over()
          || job.cancellationConfirmed()
          || job.waitsForDependencies()
          || job.registration() != RegistrationState.STORED
          || failover.blocks(job)
          || !job.spec().allows(machine.machineType(), machine.zone(), machine.spot())) {
        continue;
      }
      Zones zones = JobZones.of(job);
      for (int i = 0; i < otherPlanned.count() && job.hasFree(); i++) {
        if (!room.holds(job.spec())
            || !zones.allows(machine.zone())
            || failover.quotaHeadroom(job) < 1) {
          break;
        }
        int task = job.firstFree();
        Attempt attempt = fleet.start(job, task, machine, direct, now);
        started.add(attempt);
        zones.add(machine.zone());
        room.take(job.spec());
        machine.images().use(job.spec().image(), job.spec().imageGb(), machineType, now);
        commands.add(WorkerCommand.run(attempt.name(), attempt.id()));
        context.metrics().count("starts_sent");
        context.metrics().time("wait", now - job.releasedMicros());
        attemptLog.started(attempt, direct, jobs.endsKnownMicros());
      }
    }
    return started;
  }
}
