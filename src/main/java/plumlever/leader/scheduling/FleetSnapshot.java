package plumlever.leader.scheduling;

import java.util.ArrayList;
import java.util.List;
import plumlever.cloud.MachineTypeCatalog;
import plumlever.fleet.Machine;
import plumlever.placement.PlacementCandidate;
import plumlever.placement.Placer;

/**
 * The placement candidates of one scheduling pass. Their free capacity shrinks as the pass places
 * tasks. Created by {@link FleetSnapshotFactory}.
 */
final class FleetSnapshot implements Placer.ImageFetchTimes {
  private final MachineTypeCatalog typeCatalog;
  private final long nowMicros;
  private final List<PlacementCandidate> candidates = new ArrayList<>();

  /** Machines by candidate index. */
  private final List<Machine> machines = new ArrayList<>();

  FleetSnapshot(MachineTypeCatalog typeCatalog, long nowMicros) {
    this.typeCatalog = typeCatalog;
    this.nowMicros = nowMicros;
  }

  void add(Machine machine, PlacementCandidate candidate) {
    machines.add(machine);
    candidates.add(candidate);
  }

  /** Time at which the snapshot was taken. */
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
        .fetchMicros(image, imageGb, typeCatalog.machineType(machine.machineType()), nowMicros);
  }

  /** Returns the number of cores that are not reserved on the machines that are up or coming up. */
  double spareCores() {
    double cores = 0;
    for (PlacementCandidate candidate : candidates) {
      cores += candidate.spareCores();
    }
    return cores;
  }
}
