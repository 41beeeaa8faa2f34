package plumlever.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A machine as placement sees it: its free capacity now and the expected releases of more capacity.
 */
public final class PlacementCandidate {
  private static final double ROUNDING_TOLERANCE = 1e-9;

  final String machineId;
  final String zone;
  final MachineShape shape;

  /** Factor by which tasks run longer than on a machine of nominal speed. */
  final double slowness;

  /** Latency of a start command to the machine, in microseconds. */
  final long commandDelayMicros;

  /** True if a task is on the machine. */
  boolean busy;

  /** Cores of the machine that are free now. */
  double cores;

  double accelerators;
  double memoryGb;

  private long upMicros = Long.MIN_VALUE;
  private final List<Release> releases = new ArrayList<>();
  private boolean releasesSorted = true;

  /** Resources of the machine that are expected to become free at the given time. */
  private record Release(long atMicros, double cores, double accelerators, double memoryGb) {}

  /**
   * Creates a machine that is up and empty.
   *
   * @param slowness factor by which tasks run longer than on a machine of nominal speed
   * @param commandDelayMicros latency of a command to the machine
   */
  public PlacementCandidate(
      String machineId, String zone, MachineShape shape, double slowness, long commandDelayMicros) {
    this.machineId = machineId;
    this.zone = zone;
    this.shape = shape;
    this.slowness = slowness;
    this.commandDelayMicros = commandDelayMicros;
    this.cores = shape.cores();
    this.accelerators = shape.accelerators();
    this.memoryGb = shape.memoryGb();
  }

  /** Id of the machine. */
  public String machineId() {
    return machineId;
  }

  /**
   * Subtracts the resources of a task from the free resources until the task ends. Used for tasks
   * that are on the machine and for newly placed tasks.
   */
  public void occupy(
      double taskCores, double taskAccelerators, double taskMemoryGb, long endMicros) {
    cores -= taskCores;
    accelerators -= taskAccelerators;
    memoryGb -= taskMemoryGb;
    busy = true;
    addRelease(new Release(endMicros, taskCores, taskAccelerators, taskMemoryGb));
  }

  /** Marks the machine as still starting up: its resources become free only at the given time. */
  public void markComingUp(long atMicros) {
    upMicros = atMicros;
    addRelease(new Release(atMicros, cores, accelerators, memoryGb));
    cores = 0;
    accelerators = 0;
    memoryGb = 0;
  }

  /** Time at which the machine will have started up; Long.MIN_VALUE if it is up already. */
  long upMicros() {
    return upMicros;
  }

  /**
   * Returns the number of free cores now or, for a machine that is still starting up, at the time
   * at which the machine is up.
   */
  public double spareCores() {
    double spare = cores;
    for (Release release : releases) {
      if (release.atMicros <= upMicros) {
        spare += release.cores;
      }
    }
    return spare;
  }

  /** Subtracts the resources of a task that starts now and ends at the given time. */
  void start(ResourceRequest.Resources task, long endMicros) {
    occupy(task.cores(), task.accelerators(), task.memoryGb(), endMicros);
  }

  boolean fitsNow(ResourceRequest.Resources task) {
    return fits(task, cores, accelerators, memoryGb);
  }

  private static boolean fits(
      ResourceRequest.Resources task,
      double freeCores,
      double freeAccelerators,
      double freeMemoryGb) {
    return freeCores + ROUNDING_TOLERANCE >= task.cores()
        && freeMemoryGb + ROUNDING_TOLERANCE >= task.memoryGb()
        && freeAccelerators + ROUNDING_TOLERANCE >= task.accelerators();
  }

  /**
   * Returns the earliest time at which the machine has enough free resources for the task;
   * Long.MAX_VALUE if it never has.
   */
  long earliestStartMicros(ResourceRequest.Resources task, long nowMicros) {
    if (fitsNow(task)) {
      return nowMicros;
    }
    sortReleases();
    double freeCores = cores;
    double freeAccelerators = accelerators;
    double freeMemoryGb = memoryGb;
    for (Release release : releases) {
      freeCores += release.cores;
      freeAccelerators += release.accelerators;
      freeMemoryGb += release.memoryGb;
      if (fits(task, freeCores, freeAccelerators, freeMemoryGb)) {
        // The expected release time has passed, but the release has not been reported yet, so the
        // resources do not count as free now.
        return Math.max(nowMicros + 1, release.atMicros);
      }
    }
    return Long.MAX_VALUE;
  }

  /**
   * Reserves resources for a task that starts at a later time. Resources that become free until
   * that time are assigned to the task, and become free again when the task ends.
   */
  void book(ResourceRequest.Resources task, long startMicros, long endMicros) {
    double coresNow = cores;
    double acceleratorsNow = accelerators;
    double memoryGbNow = memoryGb;
    applyReleasesUntil(startMicros);
    double coresAtStart = cores - task.cores();
    double acceleratorsAtStart = accelerators - task.accelerators();
    double memoryGbAtStart = memoryGb - task.memoryGb();
    // Until the booked task starts, other tasks can use only those resources that are free now and
    // that the booked task does not need.
    cores = Math.min(coresNow, coresAtStart);
    accelerators = Math.min(acceleratorsNow, acceleratorsAtStart);
    memoryGb = Math.min(memoryGbNow, memoryGbAtStart);
    addRelease(
        new Release(
            startMicros,
            coresAtStart - cores,
            acceleratorsAtStart - accelerators,
            memoryGbAtStart - memoryGb));
    addRelease(new Release(endMicros, task.cores(), task.accelerators(), task.memoryGb()));
  }

  private void applyReleasesUntil(long atMicros) {
    sortReleases();
    int count = 0;
    while (count < releases.size() && releases.get(count).atMicros <= atMicros) {
      Release release = releases.get(count++);
      cores += release.cores;
      accelerators += release.accelerators;
      memoryGb += release.memoryGb;
    }
    releases.subList(0, count).clear();
  }

  private void addRelease(Release release) {
    releases.add(release);
    releasesSorted = false;
  }

  private void sortReleases() {
    if (!releasesSorted) {
      releases.sort(Comparator.comparingLong(Release::atMicros));
      releasesSorted = true;
    }
  }
}
