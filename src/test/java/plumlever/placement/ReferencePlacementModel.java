package plumlever.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Reference model of the placement rules, without caching or precomputation: feasible machines
 * first, then the lowest score; ties go to busy machines, then to the most free memory, then to the
 * most free cores.
 */
final class ReferencePlacementModel {
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final PlacementParameters parameters;
  private final List<Machine> machines;
  private final Zones zones;
  private final long nowMicros;

  ReferencePlacementModel(
      PlacementParameters parameters, List<Machine> machines, Zones zones, long nowMicros) {
    this.parameters = parameters;
    this.machines = machines;
    this.zones = zones;
    this.nowMicros = nowMicros;
  }

  /**
   * @param machine index in the list of machines, or -1 for none
   */
  record Choice(int machine, boolean feasible) {}

  private record Release(long atMicros, double cores, double memoryGb) {}

  /** A machine of the reference model, with directly accessible state. */
  static final class Machine {
    String zone;
    boolean spot;
    double totalCores;
    double totalMemoryGb;
    double freeCores;
    double freeMemoryGb;
    double price;
    long commandDelayMicros;
    long fetchMicros;
    long upMicros = Long.MIN_VALUE;
    boolean busy;
    private final List<Release> releases = new ArrayList<>();

    void markComingUp(long atMicros) {
      upMicros = atMicros;
      releases.add(new Release(atMicros, totalCores, totalMemoryGb));
      freeCores = 0;
      freeMemoryGb = 0;
    }

    void occupy(double cores, double memoryGb, long endMicros) {
      freeCores -= cores;
      freeMemoryGb -= memoryGb;
      busy = true;
      releases.add(new Release(endMicros, cores, memoryGb));
    }

    long earliestStartMicros(ResourceRequest request, long nowMicros) {
      double cores = freeCores;
      double memoryGb = freeMemoryGb;
      if (fits(request, cores, memoryGb)) {
        return nowMicros;
      }
      List<Release> sorted = new ArrayList<>(releases);
      sorted.sort(Comparator.comparingLong(Release::atMicros));
      for (Release release : sorted) {
        cores += release.cores;
        memoryGb += release.memoryGb;
        if (fits(request, cores, memoryGb)) {
          return Math.max(nowMicros + 1, release.atMicros);
        }
      }
      return Long.MAX_VALUE;
    }

    private static boolean fits(ResourceRequest request, double cores, double memoryGb) {
      return cores + ROUNDING_TOLERANCE >= request.resources().cores()
          && memoryGb + ROUNDING_TOLERANCE >= request.resources().memoryGb();
    }
  }

  /** Chooses the machine for one task of the request. */
  Choice choose(ResourceRequest request) {
    for (double padding : new double[] {parameters.runTimePadding(), 0}) {
      for (boolean now : new boolean[] {true, false}) {
        List<Integer> inTime = inTime(request, padding, now);
        if (!inTime.isEmpty()) {
          return new Choice(best(request, inTime), padding > 0);
        }
      }
    }
    return new Choice(earliestRun(request), false);
  }

  private List<Integer> inTime(ResourceRequest request, double padding, boolean now) {
    List<Integer> inTime = new ArrayList<>();
    for (int i = 0; i < machines.size(); i++) {
      Machine machine = machines.get(i);
      long startMicros = allowedStartMicros(request, machine);
      if (startMicros == Long.MAX_VALUE || (startMicros <= nowMicros) != now) {
        continue;
      }
      boolean needsRentalMargin = padding > 0 && !now && startMicros > machine.upMicros;
      long runsAtMicros =
          startMicros
              + machine.commandDelayMicros
              + machine.fetchMicros
              + (needsRentalMargin ? parameters.rentalMarginMicros() : 0);
      ResourceRequest.Timing timing = request.timing();
      if (runsAtMicros <= timing.startByMicros()
          && (timing.deadlineMicros() == Long.MAX_VALUE
              || runsAtMicros + (long) (timing.runMicros() * (1 + padding))
                  <= timing.deadlineMicros())) {
        inTime.add(i);
      }
    }
    return inTime;
  }

  private int best(ResourceRequest request, List<Integer> inTime) {
    double leastScore =
        inTime.stream().mapToDouble(i -> score(request, machines.get(i))).min().orElseThrow();
    List<Integer> tied = new ArrayList<>(inTime);
    tied.removeIf(
        i -> score(request, machines.get(i)) > leastScore * (1 + parameters.tieTolerance()));
    int best = tied.get(0);
    for (int i : tied) {
      if (isPreferred(machines.get(i), machines.get(best))) {
        best = i;
      }
    }
    return best;
  }

  private static boolean isPreferred(Machine first, Machine second) {
    if (first.busy != second.busy) {
      return first.busy;
    }
    return first.freeMemoryGb != second.freeMemoryGb
        ? first.freeMemoryGb > second.freeMemoryGb
        : first.freeCores > second.freeCores;
  }

  private double score(ResourceRequest request, Machine machine) {
    ResourceRequest.Resources task = request.resources();
    return machine.price
        * (machine.spot && !request.constraints().writesCheckpoints()
            ? 1 + parameters.spotRiskPremium()
            : 1)
        * Math.max(task.cores() / machine.totalCores, task.memoryGb() / machine.totalMemoryGb)
        * (machine.commandDelayMicros + machine.fetchMicros + request.timing().runMicros());
  }

  private int earliestRun(ResourceRequest request) {
    int best = -1;
    long soonestMicros = Long.MAX_VALUE;
    for (int i = 0; i < machines.size(); i++) {
      Machine machine = machines.get(i);
      long startMicros = allowedStartMicros(request, machine);
      if (startMicros != Long.MAX_VALUE
          && startMicros + machine.commandDelayMicros + machine.fetchMicros < soonestMicros) {
        soonestMicros = startMicros + machine.commandDelayMicros + machine.fetchMicros;
        best = i;
      }
    }
    return best;
  }

  private long allowedStartMicros(ResourceRequest request, Machine machine) {
    ResourceRequest.MachineConstraints constraints = request.constraints();
    boolean allowed =
        (constraints.zone() == null || constraints.zone().equals(machine.zone))
            && (constraints.spotAllowed() || !machine.spot)
            && zones.allows(machine.zone)
            && request.resources().cores() <= machine.totalCores
            && request.resources().memoryGb() <= machine.totalMemoryGb;
    return allowed ? machine.earliestStartMicros(request, nowMicros) : Long.MAX_VALUE;
  }
}
