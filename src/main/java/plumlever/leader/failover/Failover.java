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
 * What earlier leaders may have left running. Until every machine that could hold one of its tasks
 * is accounted for, no task of a job that an earlier leader knew is started; and a machine not
 * accounted for counts against every team's limit with all it could hold.
 */
public final class Failover {
  /** Nearly all machines that can be reached are accounted for by then, also in a large fleet. */
  private static final long OVERDUE_AFTER_MICROS = 7_000_000;

  /** By how much sums of fractions may be off. */
  private static final double ROUNDING = 1e-9;

  private final Logger log;
  private final TermContext context;
  private final Fleet fleet;
  private final Supplier<MachineSharing> sharing;
  private final long startedMicros;
  private final Map<String, PlatformConfiguration.Team> teams = new HashMap<>();
  private final Set<Machine> unaccounted = new LinkedHashSet<>();

  /** Machines that run tasks which this leader does not track. */
  private final Set<Machine> withUntrackedTasks = new LinkedHashSet<>();

  private boolean machinesLoaded;
  private boolean unaccountedKnown;
  private double unaccountedCores;
  private double unaccountedAccelerators;
  private long loadedMicros;

  /**
   * The failover that begins with this term.
   *
   * @param sharing asked for the limits of teams; it is set up later than this
   */
  public Failover(TermContext context, Fleet fleet, Supplier<MachineSharing> sharing) {
    this.sharing = sharing;
    this.context = context;
    this.log = context.logs().of(Failover.class);
    this.fleet = fleet;
    this.startedMicros = context.loop().nowMicros();
    context.platform().teams().forEach(t -> teams.put(t.name(), t));
  }

  /** When this controller became leader. */
  public long startedMicros() {
    return startedMicros;
  }

  /**
   * When the machines were loaded: every later answer to a machine is noted there. An earlier
   * answer may have renewed any lease.
   */
  public long loadedMicros() {
    return loadedMicros;
  }

  /** All machines that may hold tasks are in the fleet from now on. */
  public void machinesLoaded() {
    machinesLoaded = true;
    unaccountedKnown = false;
    loadedMicros = context.loop().nowMicros();
    for (Machine machine : fleet.machines()) {
      if (machine.registration() == RegistrationState.STORED
          && !machine.accounted()
          && machine.tokens().term() == context.term().number()) {
        unaccounted.add(machine);
      }
    }
    if (unaccounted.isEmpty()) {
      log.info("failover complete: no machine may hold a task");
    }
  }

  /** True once nothing that earlier leaders started is unknown. */
  public boolean isComplete() {
    return machinesLoaded && unaccounted.isEmpty();
  }

  /**
   * True when the machines still unaccounted for will not be soon: they are gone or behind a
   * network partition, and nothing can be planned with them.
   */
  public boolean isOverdue(long now) {
    return machinesLoaded && !unaccounted.isEmpty() && now - loadedMicros > OVERDUE_AFTER_MICROS;
  }

  /** Machines that may still run tasks of earlier leaders that are not known. */
  public Set<Machine> unaccounted() {
    return unaccounted;
  }

  /**
   * Nothing that an earlier leader started on the machine is unknown any more, or it is gone.
   *
   * @param reason for the log
   */
  public void markAccounted(Machine machine, String reason) {
    machine.markAccounted();
    if (unaccounted.remove(machine)) {
      unaccountedKnown = false;
      log.debug("{} accounted for: {}", machine.id(), reason);
      if (unaccounted.isEmpty()) {
        long durationMicros = context.loop().nowMicros() - startedMicros;
        context.metrics().recordDuration("failover", durationMicros);
        log.info(
            "failover complete after {} ms, the last machine was {}: {}",
            durationMicros / 1_000,
            machine.id(),
            reason);
      }
    }
  }

  /** The machine lists this number of running tasks that this leader does not track. */
  public void setUntrackedTasks(Machine machine, int tasks) {
    if (tasks > 0 ? withUntrackedTasks.add(machine) : withUntrackedTasks.remove(machine)) {
      unaccountedKnown = false;
    }
  }

  /** True while the machine runs tasks that this leader does not track. */
  public boolean runsUntracked(Machine machine) {
    return withUntrackedTasks.contains(machine);
  }

  /** True while a task of the job could be running on a machine not accounted for. */
  public boolean blocks(Job job) {
    return !machinesLoaded || (job.inherited() && !unaccounted.isEmpty());
  }

  /** How many more tasks of the job its team's limit allows; 0 if the team is unknown. */
  public int quotaHeadroom(Job job) {
    PlatformConfiguration.Team team = teams.get(job.spec().team());
    if (team == null) {
      return 0;
    }
    if (team.maxCores() <= 0 && team.maxAccelerators() <= 0) {
      return Integer.MAX_VALUE;
    }
    if (!countUnaccounted()) {
      return 0;
    }
    Fleet.TeamUsage held = fleet.usage(job.spec().team());
    LimitParts.Part limit = sharing.get().teamLimit(team);
    return Math.min(
        headroom(limit.cores(), held.cores() + unaccountedCores, job.spec().cores()),
        headroom(
            limit.accelerators(),
            held.accelerators() + unaccountedAccelerators,
            job.spec().accelerators()));
  }

  /** Processor cores that the team's tasks may be using, wherever they are. */
  public double coresHeld(String team) {
    return fleet.usage(team).cores() + (countUnaccounted() ? unaccountedCores : 0);
  }

  /**
   * Adds up the machines that could run anybody's tasks. A machine may run tasks of a job that
   * ended before this term: whose they are is unknown, and until they are seen to be gone they
   * count like those of a machine not accounted for.
   *
   * @return false when the size of one of them is not known
   */
  private boolean countUnaccounted() {
    if (unaccountedKnown) {
      return true;
    }
    Set<Machine> possiblyOccupied = new HashSet<>(unaccounted);
    possiblyOccupied.addAll(withUntrackedTasks);
    unaccountedCores = 0;
    unaccountedAccelerators = 0;
    for (Machine machine : possiblyOccupied) {
      MachineType machineType = context.prices().machineType(machine.machineType());
      if (machineType == null) {
        return false;
      }
      unaccountedCores += machineType.cores();
      unaccountedAccelerators += machineType.accelerators();
    }
    unaccountedKnown = true;
    return true;
  }

  private static int headroom(double limit, double used, double each) {
    if (limit <= 0 || each <= 0) {
      return Integer.MAX_VALUE;
    }
    return (int)
        Math.max(0, Math.min(Integer.MAX_VALUE, Math.floor((limit - used) / each + ROUNDING)));
  }
}
