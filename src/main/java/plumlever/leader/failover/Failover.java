package plumlever.leader.failover;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.slf4j.Logger;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.fleet.RegistrationState;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.settings.PlatformConfiguration;
import plumlever.sharing.LimitParts;
import plumlever.wire.MachineType;

/**
 * Tracks the tasks that earlier leaders may have left running. A machine is accounted for once all
 * tasks that earlier leaders may have started on it are known, or once the machine is gone. The
 * leader starts no task of a job that an earlier leader may have started until every machine that
 * could hold such a task is accounted for. Until then, the full capacity of each machine not
 * accounted for counts against every team's limit.
 */
public final class Failover {
  /**
   * Time after loading the machine records within which nearly all reachable machines, even of a
   * large fleet, have reported the tasks that earlier leaders started on them.
   */
  private static final long OVERDUE_AFTER_MICROS = 7_000_000;

  /** Tolerance for rounding errors in sums of fractions. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final Logger log;
  private final TermContext context;
  private final Fleet fleet;
  private final Supplier<MachineSharing> sharing;
  private final long startedMicros;
  private final Map<String, PlatformConfiguration.Team> teams = new HashMap<>();
  private final Set<Machine> unaccounted = new LinkedHashSet<>();

  /** Machines whose last heartbeat listed running tasks that this leader does not track. */
  private final Set<Machine> withUntrackedTasks = new LinkedHashSet<>();

  private boolean machinesLoaded;
  private boolean possiblyOccupiedKnown;
  private double possiblyOccupiedCores;
  private double possiblyOccupiedAccelerators;
  private long loadedMicros;

  /**
   * Creates the failover of a term that has just begun.
   *
   * @param sharing supplies the teams' limits; available only after this constructor has run
   */
  public Failover(TermContext context, Fleet fleet, Supplier<MachineSharing> sharing) {
    this.sharing = sharing;
    this.context = context;
    this.log = context.loggerProvider().of(Failover.class);
    this.fleet = fleet;
    this.startedMicros = context.loop().nowMicros();
    context.platform().teams().forEach(t -> teams.put(t.name(), t));
  }

  /** Returns the time at which this controller became leader. */
  public long startedMicros() {
    return startedMicros;
  }

  /**
   * Returns the time at which the machine records were loaded. This leader records each lease
   * renewal that it sends after that time; before it, the lease of any machine may have been
   * renewed without a record.
   */
  public long loadedMicros() {
    return loadedMicros;
  }

  /**
   * Starts to track which machines may run unknown tasks of earlier leaders; called once all
   * machines that may hold tasks have been added to the fleet.
   */
  public void machinesLoaded() {
    machinesLoaded = true;
    possiblyOccupiedKnown = false;
    loadedMicros = context.loop().nowMicros();
    for (Machine machine : fleet.machines()) {
      if (machine.registration() == RegistrationState.STORED
          && !machine.accounted()
          && machine.tokens().term() == context.term().number()) {
        unaccounted.add(machine);
      }
    }
    if (unaccounted.isEmpty()) {
      log.info("failover complete: no machine can hold tasks of earlier leaders");
    }
  }

  /** Returns true once all tasks that earlier leaders may have left running are known. */
  public boolean isComplete() {
    return machinesLoaded && unaccounted.isEmpty();
  }

  /**
   * Returns true if the machines that may still run unknown tasks of earlier leaders are unlikely
   * to report soon, because they are gone or behind a network partition. Plans must not rely on
   * these machines.
   */
  public boolean isOverdue(long now) {
    return machinesLoaded && !unaccounted.isEmpty() && now - loadedMicros > OVERDUE_AFTER_MICROS;
  }

  /** Returns the machines that may still run unknown tasks of earlier leaders. */
  public Set<Machine> unaccounted() {
    return unaccounted;
  }

  /**
   * Marks the machine as accounted for: all tasks that an earlier leader started on the machine are
   * known, or the machine is gone.
   *
   * @param reason why the machine is accounted for, for the log
   */
  public void markAccounted(Machine machine, String reason) {
    machine.markAccounted();
    if (unaccounted.remove(machine)) {
      possiblyOccupiedKnown = false;
      log.debug("machine {} is accounted for: {}", machine.id(), reason);
      if (unaccounted.isEmpty()) {
        long durationMicros = context.loop().nowMicros() - startedMicros;
        context.metrics().recordDuration("failover", durationMicros);
        log.info(
            "failover complete after {} ms, machine {} was the last one accounted for: {}",
            durationMicros / 1_000,
            machine.id(),
            reason);
      }
    }
  }

  /** Sets the number of tasks running on the machine that this leader does not track. */
  public void setUntrackedTasks(Machine machine, int tasks) {
    if (tasks > 0 ? withUntrackedTasks.add(machine) : withUntrackedTasks.remove(machine)) {
      possiblyOccupiedKnown = false;
    }
  }

  /** Returns true while the machine runs tasks that this leader does not track. */
  public boolean runsUntrackedTasks(Machine machine) {
    return withUntrackedTasks.contains(machine);
  }

  /**
   * Returns true while a task of the job could be running on a machine that may still run unknown
   * tasks of earlier leaders; no task of such a job is started.
   */
  public boolean blocks(Job job) {
    return !machinesLoaded || (job.inherited() && !unaccounted.isEmpty());
  }

  /**
   * Returns how many more tasks of the job fit into the resource limit of its team; 0 if the team
   * or the size of a machine that may run unknown tasks is unknown.
   */
  public int quotaHeadroom(Job job) {
    PlatformConfiguration.Team team = teams.get(job.spec().team());
    if (team == null) {
      return 0;
    }
    if (team.maxCores() <= 0 && team.maxAccelerators() <= 0) {
      return Integer.MAX_VALUE;
    }
    if (!countPossiblyOccupied()) {
      return 0;
    }
    Fleet.TeamUsage usage = fleet.usage(job.spec().team());
    LimitParts.Part limit = sharing.get().teamLimit(team);
    return Math.min(
        headroom(limit.cores(), usage.cores() + possiblyOccupiedCores, job.spec().cores()),
        headroom(
            limit.accelerators(),
            usage.accelerators() + possiblyOccupiedAccelerators,
            job.spec().accelerators()));
  }

  /** Returns the number of processor cores that the team's tasks may be using on all machines. */
  public double coresPossiblyInUse(String team) {
    return fleet.usage(team).cores() + (countPossiblyOccupied() ? possiblyOccupiedCores : 0);
  }

  /**
   * Sums up the capacity of the machines that may be running tasks of unknown teams. These are the
   * machines that may still run unknown tasks of earlier leaders, and the machines that run tasks
   * which this leader does not track; the jobs of the latter may have ended before this term.
   *
   * @return false if the size of one of the machines is unknown
   */
  private boolean countPossiblyOccupied() {
    if (possiblyOccupiedKnown) {
      return true;
    }
    Set<Machine> possiblyOccupied = new HashSet<>(unaccounted);
    possiblyOccupied.addAll(withUntrackedTasks);
    possiblyOccupiedCores = 0;
    possiblyOccupiedAccelerators = 0;
    for (Machine machine : possiblyOccupied) {
      MachineType machineType = context.typeCatalog().machineType(machine.machineType());
      if (machineType == null) {
        return false;
      }
      possiblyOccupiedCores += machineType.cores();
      possiblyOccupiedAccelerators += machineType.accelerators();
    }
    possiblyOccupiedKnown = true;
    return true;
  }

  private static int headroom(double limit, double used, double perTask) {
    if (limit <= 0 || perTask <= 0) {
      return Integer.MAX_VALUE;
    }
    return (int)
        Math.max(
            0,
            Math.min(Integer.MAX_VALUE, Math.floor((limit - used) / perTask + ROUNDING_TOLERANCE)));
  }
}
