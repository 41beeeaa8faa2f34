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
import plumlever.leader.context.Context;
import plumlever.leader.context.MachineSharing;
import plumlever.settings.PlatformConfiguration;
import plumlever.sharing.LimitParts;
import plumlever.wire.MachineType;

/**
 * What earlier leaders may have left running. Until every machine that could hold one of its tasks
 * is accounted for, no task of a job that an earlier leader knew is started; and a machine not
 * accounted for counts against every team's limit with all it could hold.
 */
public final class Failover {
  /**
   * Nearly all machines that can be reached have come over by then, also those of a large fleet.
   */
  private static final long OVERDUE_MICROS = 7_000_000;

  /** What sums of fractions may be off by. */
  private static final double ROUNDING = 1e-9;

  private final Logger log;
  private final Context context;
  private final Fleet fleet;
  private final Supplier<MachineSharing> sharing;
  private final long startedMicros;
  private final Map<String, PlatformConfiguration.Team> teams = new HashMap<>();
  private final Set<Machine> open = new LinkedHashSet<>();

  /** Machines that run tasks of jobs this leader does not know. */
  private final Set<Machine> untracked = new LinkedHashSet<>();

  private boolean loaded;
  private boolean unaccountedKnown;
  private double unaccountedCores;
  private double unaccountedAccelerators;
  private long loadedMicros;

  /**
   * The failover that begins with this term.
   *
   * @param sharing asked for the limits of teams; it is set up later than this
   */
  public Failover(Context context, Fleet fleet, Supplier<MachineSharing> sharing) {
    this.sharing = sharing;
    this.context = context;
    this.log = context.logs().of(Failover.class);
    this.fleet = fleet;
    this.startedMicros = context.loop().nowMicros();
    context.platform().teams().forEach(t -> teams.put(t.name(), t));
  }

  public long startedMicros() {
    return startedMicros;
  }

  /**
   * From here on each answer to a machine is on record; before, an answer may have renewed any
   * lease.
   */
  public long loadedMicros() {
    return loadedMicros;
  }

  /** All machines that may hold tasks are in the fleet now. */
  public void loaded() {
    loaded = true;
    unaccountedKnown = false;
    loadedMicros = context.loop().nowMicros();
    for (Machine machine : fleet.machines()) {
      if (machine.registration() == RegistrationState.STORED
          && !machine.accounted()
          && machine.tokens().term() == context.term().number()) {
        open.add(machine);
      }
    }
    if (open.isEmpty()) {
      log.info("failover complete: no machine may hold a task");
    }
  }

  public boolean complete() {
    return loaded && open.isEmpty();
  }

  /**
   * True when what is still open will not come over soon: it is gone or behind a cut, and nothing
   * can be planned with it.
   */
  public boolean overdue(long now) {
    return loaded && !open.isEmpty() && now - loadedMicros > OVERDUE_MICROS;
  }

  public Set<Machine> open() {
    return open;
  }

  /** Nothing that an earlier leader started on the machine is unknown any more, or it is gone. */
  public void accounted(Machine machine, String how) {
    machine.markAccounted();
    if (open.remove(machine)) {
      unaccountedKnown = false;
      log.debug("{} accounted for: {}", machine.id(), how);
      if (open.isEmpty()) {
        long took = context.loop().nowMicros() - startedMicros;
        context.metrics().recordDuration("failover", took);
        log.info(
            "failover complete after {} ms, the last machine was {}: {}",
            took / 1_000,
            machine.id(),
            how);
      }
    }
  }

  /** The machine lists so many running tasks that this leader does not keep. */
  public void untracked(Machine machine, int tasks) {
    if (tasks > 0 ? untracked.add(machine) : untracked.remove(machine)) {
      unaccountedKnown = false;
    }
  }

  /** True while the machine runs tasks that this leader does not keep. */
  public boolean runsUntracked(Machine machine) {
    return untracked.contains(machine);
  }

  /** True while a task of the job could be running on a machine not accounted for. */
  public boolean blocks(Job job) {
    return !loaded || (job.inherited() && !open.isEmpty());
  }

  /** How many more tasks of the job its team's limit allows. */
  public int quotaHeadroom(Job job) {
    PlatformConfiguration.Team team = teams.get(job.spec().team());
    if (team == null) {
      return 0;
    }
    Fleet.TeamUsage held = fleet.usage(job.spec().team());
    double cores = held.cores();
    double accelerators = held.accelerators();
    if (team.maxCores() <= 0 && team.maxAccelerators() <= 0) {
      return Integer.MAX_VALUE;
    }
    if (!countUnaccounted()) {
      return 0;
    }
    cores += unaccountedCores;
    accelerators += unaccountedAccelerators;
    LimitParts.Part limit = sharing.get().limit(team);
    return Math.min(
        headroom(limit.cores(), cores, job.spec().cores()),
        headroom(limit.accelerators(), accelerators, job.spec().accelerators()));
  }

  /** Processors that the team's tasks may be using, wherever they are. */
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
    Set<Machine> unsure = new HashSet<>(open);
    unsure.addAll(untracked);
    unaccountedCores = 0;
    unaccountedAccelerators = 0;
    for (Machine machine : unsure) {
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
