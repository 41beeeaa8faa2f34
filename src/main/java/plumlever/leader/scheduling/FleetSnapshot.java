package plumlever.leader.scheduling;

import java.util.ArrayList;
import java.util.List;
import plumlever.cloud.PriceBook;
import plumlever.fleet.Machine;
import plumlever.placement.PlacementCandidate;
import plumlever.placement.Placer;

/**
 * The machines as one pass sees them, with the capacity that the pass gives away. Made by {@link
 * FleetSnapshotFactory}.
 */
final class FleetSnapshot implements Placer.ImageFetchTimes {
  private final PriceBook prices;
  private final long nowMicros;
  private final List<PlacementCandidate> candidates = new ArrayList<>();

  /** The machine of each candidate. */
  private final List<Machine> machines = new ArrayList<>();

  FleetSnapshot(PriceBook prices, long nowMicros) {
    this.prices = prices;
    this.nowMicros = nowMicros;
  }

  void add(Machine machine, PlacementCandidate candidate) {
    machines.add(machine);
    candidates.add(candidate);
  }

  /** The moment at which the machines were looked at. */
  long nowMicros() {
    return nowMicros;
  }

  List<PlacementCandidate> candidates() {
    return candidates;
  }

  @Override
  public long micros(int candidate, String image, double imageGb) {
    Machine machine = machines.get(candidate);
    return machine
        .images()
        .fetchMicros(image, imageGb, prices.machineType(machine.machineType()), nowMicros);
  }

  /** Cores that nothing is planned or booked for, on machines that are up or come up. */
  double spareCores() {
    double cores = 0;
    for (PlacementCandidate candidate : candidates) {
      cores += candidate.spareCores();
    }
    return cores;
  }
}
