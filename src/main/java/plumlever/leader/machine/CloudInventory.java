package plumlever.leader.machine;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.wire.ListedMachine;
import plumlever.wire.MachineType;

/** Periodically reads the cloud's list of machines, and its machine types with their prices. */
final class CloudInventory {
  private static final double MICROS_PER_SECOND = 1e6;
  private static final long LIST_INTERVAL_MICROS = 6_000_000;
  private static final long MACHINE_TYPES_INTERVAL_MICROS = 30_000_000;

  private final TermContext context;
  private final Fleet fleet;
  private final MachineSharing sharing;
  private final Predicate<String> isReturned;
  private final Runnable onChange;
  private long listedMicros;
  private long machineTypesReadMicros;
  private boolean listing;
  private boolean readingMachineTypes;
  private boolean closed;

  /**
   * @param isReturned true for the id of a machine that was returned; the cloud's list may still
   *     contain the machine for some time
   * @param onChange runs when something changed that placement depends on
   */
  CloudInventory(
      TermContext context,
      Fleet fleet,
      MachineSharing sharing,
      Predicate<String> isReturned,
      Runnable onChange) {
    this.context = context;
    this.fleet = fleet;
    this.sharing = sharing;
    this.isReturned = isReturned;
    this.onChange = onChange;
  }

  /**
   * Starts to read the cloud's list of machines and its machine types, each if its interval has
   * passed.
   */
  void refresh(long now) {
    if (!listing && now - listedMicros >= LIST_INTERVAL_MICROS) {
      listing = true;
      context.cloud().listMachines(this::handleMachines);
    }
    if (!readingMachineTypes && now - machineTypesReadMicros >= MACHINE_TYPES_INTERVAL_MICROS) {
      readingMachineTypes = true;
      context.cloud().listMachineTypes(this::handleMachineTypes);
    }
  }

  private void handleMachineTypes(Optional<List<MachineType>> machineTypes) {
    readingMachineTypes = false;
    if (machineTypes.isEmpty()) {
      return;
    }
    boolean first = !context.typeCatalog().isLoaded();
    machineTypesReadMicros = context.loop().nowMicros();
    context.typeCatalog().update(machineTypes.get());
    if (first) {
      onChange.run();
    }
  }

  private void handleMachines(Optional<List<ListedMachine>> machines) {
    listing = false;
    if (machines.isEmpty() || closed) {
      return;
    }
    long now = context.loop().nowMicros();
    listedMicros = now;
    context.metrics().count("machine_lists_read");
    for (ListedMachine listed : machines.get()) {
      if (!isReturned.test(listed.id()) && sharing.isOwn(listed)) {
        updateMachine(listed, now);
      }
    }
  }

  private void updateMachine(ListedMachine listed, long now) {
    Machine machine = fleet.machine(listed.id());
    if (machine == null) {
      machine =
          new Machine(
              listed.id(),
              listed.endpoint(),
              listed.machineType(),
              listed.zone(),
              listed.spot(),
              now - (long) (listed.ageS() * MICROS_PER_SECOND));
      machine.setReturning(sharing.isRecordedForReturn(listed.id()));
      fleet.add(machine);
    }
    machine.setEndpointIfUnknown(listed.endpoint());
    machine.recordListing(listed.failed());
  }

  /** Stops the reads; machine lists that arrive later are ignored. */
  void close() {
    closed = true;
  }
}
