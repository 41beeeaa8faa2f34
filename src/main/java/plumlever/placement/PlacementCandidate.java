package plumlever.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A machine as placement sees it: room now, and the times at which more of it comes free. */
public final class PlacementCandidate {
  /** Room that comes free at a time, as far as known. */
  public record Release(long atMicros, double cores, double accelerators, double memoryGb) {}

  private static final double EPSILON = 1e-9;

  final String machine;
  final String machineType;
  final String zone;
  final boolean spot;
  final double totalCores;
  final double totalAccelerators;
  final double totalMemoryGb;
  final double pricePerS;
  final double slowness;
  double cores;
  double accelerators;
  double memoryGb;
  boolean busy;
  private long upMicros = Long.MIN_VALUE;

  /**
   * Time until a command reaches the machine: it is only given orders in answers to its heartbeat.
   */
  final long delayMicros;

  private final List<Release> releases = new ArrayList<>();
  private boolean sorted = true;

  /** A machine with all its room free from now on. */
  public PlacementCandidate(
      String machine,
      String machineType,
      String zone,
      boolean spot,
      double totalCores,
      double totalAccelerators,
      double totalMemoryGb,
      double pricePerS,
      double slowness,
      long delayMicros) {
    this.machine = machine;
    this.machineType = machineType;
    this.zone = zone;
    this.spot = spot;
    this.totalCores = totalCores;
    this.totalAccelerators = totalAccelerators;
    this.totalMemoryGb = totalMemoryGb;
    this.pricePerS = pricePerS;
    this.slowness = slowness;
    this.delayMicros = delayMicros;
    this.cores = totalCores;
    this.accelerators = totalAccelerators;
    this.memoryGb = totalMemoryGb;
  }

  public String machine() {
    return machine;
  }

  /** A task that is on the machine already. */
  public void occupy(
      double taskCores, double taskAccelerators, double taskMemoryGb, long endsAtMicros) {
    cores -= taskCores;
    accelerators -= taskAccelerators;
    memoryGb -= taskMemoryGb;
    busy = true;
    releases.add(new Release(endsAtMicros, taskCores, taskAccelerators, taskMemoryGb));
    sorted = false;
  }

  /** The machine is not up before then. */
  public void comesUp(long atMicros) {
    upMicros = atMicros;
    releases.add(new Release(atMicros, cores, accelerators, memoryGb));
    sorted = false;
    cores = 0;
    accelerators = 0;
    memoryGb = 0;
  }

  /** When the machine comes up; long ago for one that is. */
  long upMicros() {
    return upMicros;
  }

  /** Room now, or for a machine that is not up yet when it comes up, that nothing is booked for. */
  public double spareCores() {
    double spare = cores;
    for (Release release : releases) {
      if (release.atMicros <= upMicros) {
        spare += release.cores;
      }
    }
    return spare;
  }

  void take(ResourceRequest request) {
    cores -= request.cores();
    accelerators -= request.accelerators();
    memoryGb -= request.memoryGb();
    busy = true;
  }

  void release(ResourceRequest request, long atMicros) {
    releases.add(
        new Release(atMicros, request.cores(), request.accelerators(), request.memoryGb()));
    sorted = false;
  }

  boolean fitsNow(ResourceRequest request) {
    return cores + EPSILON >= request.cores()
        && memoryGb + EPSILON >= request.memoryGb()
        && accelerators + EPSILON >= request.accelerators();
  }

  /** The earliest time the task fits, or Long.MAX_VALUE. */
  long earliest(ResourceRequest request, long nowMicros) {
    if (fitsNow(request)) {
      return nowMicros;
    }
    sort();
    double otherCores = cores;
    double otherAccelerators = accelerators;
    double memory = memoryGb;
    for (Release release : releases) {
      otherCores += release.cores;
      otherAccelerators += release.accelerators;
      memory += release.memoryGb;
      if (otherCores + EPSILON >= request.cores()
          && memory + EPSILON >= request.memoryGb()
          && otherAccelerators + EPSILON >= request.accelerators()) {
        // Room that is due but has not been reported free is not room now.
        return Math.max(nowMicros + 1, release.atMicros);
      }
    }
    return Long.MAX_VALUE;
  }

  /**
   * Books room that comes free later: what is released until then goes to this task, and back when
   * it ends.
   */
  void book(ResourceRequest request, long fromMicros, long untilMicros) {
    sort();
    double coresNow = cores;
    double acceleratorsNow = accelerators;
    double memoryNow = memoryGb;
    int count = 0;
    while (count < releases.size() && releases.get(count).atMicros <= fromMicros) {
      Release otherRelease = releases.get(count++);
      cores += otherRelease.cores;
      accelerators += otherRelease.accelerators;
      memoryGb += otherRelease.memoryGb;
    }
    releases.subList(0, count).clear();
    double otherCores = cores - request.cores();
    double otherAccelerators = accelerators - request.accelerators();
    double memory = memoryGb - request.memoryGb();
    // Room there is now stays usable as far as the booking leaves it; the rest is not there before
    // then.
    cores = Math.min(coresNow, otherCores);
    accelerators = Math.min(acceleratorsNow, otherAccelerators);
    memoryGb = Math.min(memoryNow, memory);
    releases.add(
        new Release(
            fromMicros, otherCores - cores, otherAccelerators - accelerators, memory - memoryGb));
    release(request, untilMicros);
  }

  private void sort() {
    if (!sorted) {
      releases.sort(Comparator.comparingLong(Release::atMicros));
      sorted = true;
    }
  }
}
