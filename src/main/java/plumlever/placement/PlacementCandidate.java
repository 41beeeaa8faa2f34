package plumlever.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A machine as placement sees it: its free capacity now, and the times at which more of it comes
 * free.
 */
public final class PlacementCandidate {
  private static final double ROUNDING_TOLERANCE = 1e-9;

  final String machineId;
  final String zone;
  final MachineShape shape;

  /** Factor by which tasks take longer there than on a machine of nominal speed. */
  final double slowness;

  /** Time until a command reaches the machine. */
  final long commandDelayMicros;

  /** True once a task is on the machine. */
  boolean busy;

  /** What is free now. */
  double cores;

  double accelerators;
  double memoryGb;

  private long upMicros = Long.MIN_VALUE;
  private final List<Release> releases = new ArrayList<>();
  private boolean releasesSorted = true;

  /** Capacity that is expected to come free at a time. */
  private record Release(long atMicros, double cores, double accelerators, double memoryGb) {}

  /**
   * A machine that is up, with all its capacity free.
   *
   * @param slowness factor by which tasks take longer than on a machine of nominal speed
   * @param commandDelayMicros time until a command reaches the machine
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

  /** The name of the machine. */
  public String machineId() {
    return machineId;
  }

  /** Takes a task into account that is on the machine already. */
  public void occupy(
      double taskCores, double taskAccelerators, double taskMemoryGb, long endMicros) {
    cores -= taskCores;
    accelerators -= taskAccelerators;
    memoryGb -= taskMemoryGb;
    busy = true;
    addRelease(new Release(endMicros, taskCores, taskAccelerators, taskMemoryGb));
  }

  /** The machine is not up before then: what is free of it comes free at that time. */
  public void comesUp(long atMicros) {
    upMicros = atMicros;
    addRelease(new Release(atMicros, cores, accelerators, memoryGb));
    cores = 0;
    accelerators = 0;
    memoryGb = 0;
  }

  /** When the machine comes up; Long.MIN_VALUE for one that is. */
  long upMicros() {
    return upMicros;
  }

  /**
   * Cores that nothing is planned or booked for: now, or for a machine that is not up yet when it
   * comes up.
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

  /** Starts a task now that ends at the given time. */
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

  /** The earliest time at which the task fits; Long.MAX_VALUE if it never does. */
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
        // Capacity that is due but has not been reported free is not free now.
        return Math.max(nowMicros + 1, release.atMicros);
      }
    }
    return Long.MAX_VALUE;
  }

  /**
   * Books capacity that comes free later: what is released until the task starts goes to the task,
   * and comes free again when it ends.
   */
  void book(ResourceRequest.Resources task, long startMicros, long endMicros) {
    double coresNow = cores;
    double acceleratorsNow = accelerators;
    double memoryGbNow = memoryGb;
    applyReleasesUntil(startMicros);
    double coresAtStart = cores - task.cores();
    double acceleratorsAtStart = accelerators - task.accelerators();
    double memoryGbAtStart = memoryGb - task.memoryGb();
    // What is free now stays usable as far as the booking leaves it; the rest is not free before
    // the start.
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
