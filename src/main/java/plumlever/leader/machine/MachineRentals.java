package plumlever.leader.machine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import plumlever.cloud.CloudClient;
import plumlever.cloud.RentalRequest;
import plumlever.cloud.RentalResult;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.scheduling.SchedulingPass;
import plumlever.scaling.RentalPlan;
import plumlever.wire.MachineType;

/**
 * Rents machines for pending tasks. A request whose outcome is unknown is repeated with the same id
 * until the outcome is known, so that no machine is rented twice.
 */
final class MachineRentals {
  private static final long NO_CAPACITY_PAUSE_MICROS = 12_000_000;
  private static final long RETRY_PAUSE_MICROS = 2_000_000;
  private static final int MAX_MACHINES_PER_PLAN = 300;
  private static final int MAX_OPEN_REQUESTS = 6;

  /** A rental request whose outcome is not known yet. */
  private static final class OpenRequest {
    private final RentalRequest request;
    private final RentalPlan.RentalOption option;
    private boolean inFlight;
    private long retryMicros;

    OpenRequest(RentalRequest request, RentalPlan.RentalOption option) {
      this.request = request;
      this.option = option;
    }
  }

  private final Logger log;
  private final TermContext context;
  private final Fleet fleet;
  private final SchedulingPass pass;
  private final Failover failover;
  private final MachineSharing sharing;
  private final Predicate<String> isReturned;
  private final Predicate<String> isPartitioned;
  private final Runnable onChange;
  private final RentalPlan plan;
  private final Map<RentalPlan.RentalOption, Long> unavailableUntilMicros = new HashMap<>();
  private final List<OpenRequest> openRequests = new ArrayList<>();
  private long requestCounter;
  private long capacityAddedMicros = -1;

  /**
   * @param isReturned true for the id of a machine that was returned
   * @param isPartitioned true for a zone that seems to be partitioned; no machines are rented there
   * @param onChange runs when something changed that placement depends on
   */
  MachineRentals(
      TermContext context,
      Fleet fleet,
      SchedulingPass pass,
      Failover failover,
      MachineSharing sharing,
      Predicate<String> isReturned,
      Predicate<String> isPartitioned,
      Runnable onChange) {
    this.context = context;
    this.log = context.loggerProvider().of(MachineRentals.class);
    this.fleet = fleet;
    this.pass = pass;
    this.failover = failover;
    this.sharing = sharing;
    this.isReturned = isReturned;
    this.isPartitioned = isPartitioned;
    this.onChange = onChange;
    this.plan = new RentalPlan(context.typeCatalog(), context.costMatters());
  }

  /** Returns true while at least one rental option is known to be unavailable. */
  boolean anyUnavailable(long now) {
    return unavailableUntilMicros.values().stream().anyMatch(until -> until > now);
  }

  /**
   * Records that capacity was added at the given time. No machines are rented for demands that were
   * found before that time, because the added capacity may serve them.
   */
  void recordAddedCapacity(long now) {
    capacityAddedMicros = now;
  }

  /**
   * Repeats requests whose outcome is unknown, and rents machines for the demands of the last
   * scheduling pass.
   */
  void rent(long now) {
    for (OpenRequest open : new ArrayList<>(openRequests)) {
      if (!open.inFlight && now >= open.retryMicros) {
        send(open);
      }
    }
    if (mayRentMore(now)) {
      rentPlanned(now);
    }
  }

  /**
   * Returns true if machines may be rented for the demands of the last scheduling pass. Demands
   * found before capacity was last added may be served by that capacity, so no machines are rented
   * for them.
   */
  private boolean mayRentMore(long now) {
    return context.typeCatalog().isLoaded()
        && (failover.isComplete() || failover.isOverdue(now))
        && pass.finishedMicros() > capacityAddedMicros
        && sharing.mayRent();
  }

  private void rentPlanned(long now) {
    List<RentalPlan.PlannedRental> rentals =
        plan.plan(
            pass.demands(),
            incomingCapacity(),
            option -> isAvailable(option, now),
            MAX_MACHINES_PER_PLAN);
    for (RentalPlan.PlannedRental rental : rentals) {
      if (openRequests.size() >= MAX_OPEN_REQUESTS) {
        return;
      }
      OpenRequest open = new OpenRequest(newRequest(rental), rental.option());
      openRequests.add(open);
      send(open);
    }
  }

  private boolean isAvailable(RentalPlan.RentalOption option, long now) {
    return now >= unavailableUntilMicros.getOrDefault(option, 0L)
        && !isPartitioned.test(option.zone());
  }

  /**
   * Returns the capacity of requested machines, whose ids are not known yet, and of machines that
   * are being transferred to this shard. Booting machines are already part of the fleet.
   */
  private List<RentalPlan.IncomingMachine> incomingCapacity() {
    List<RentalPlan.IncomingMachine> incomingCapacity = new ArrayList<>();
    for (OpenRequest open : openRequests) {
      addIncoming(open.option, open.request.count(), incomingCapacity);
    }
    for (RentalPlan.RentalOption option : sharing.incomingMachines()) {
      addIncoming(option, 1, incomingCapacity);
    }
    return incomingCapacity;
  }

  private void addIncoming(
      RentalPlan.RentalOption option,
      int count,
      List<RentalPlan.IncomingMachine> incomingCapacity) {
    MachineType machineType = context.typeCatalog().machineType(option.machineType());
    if (machineType == null) {
      return;
    }
    for (int i = 0; i < count; i++) {
      incomingCapacity.add(new RentalPlan.IncomingMachine(option, machineType));
    }
  }

  /** Creates a rental request whose id is unique across all terms. */
  private RentalRequest newRequest(RentalPlan.PlannedRental rental) {
    requestCounter++;
    RentalPlan.RentalOption option = rental.option();
    return new RentalRequest(
        "r-" + context.term().number() + "-" + requestCounter,
        option.machineType(),
        option.zone(),
        option.spot(),
        Math.min(rental.count(), CloudClient.MAX_MACHINES_PER_RENTAL));
  }

  private void send(OpenRequest open) {
    if (!context.term().mayAct()) {
      return;
    }
    open.inFlight = true;
    context.cloud().rentMachines(open.request, result -> handleResult(open, result));
  }

  private void handleResult(OpenRequest open, RentalResult result) {
    open.inFlight = false;
    long now = context.loop().nowMicros();
    switch (result.outcome()) {
      case RENTED -> {
        openRequests.remove(open);
        addRented(open, result.machineIds(), now);
      }
      case NO_CAPACITY -> {
        openRequests.remove(open);
        unavailableUntilMicros.put(open.option, now + NO_CAPACITY_PAUSE_MICROS);
      }
      case REFUSED -> {
        openRequests.remove(open);
        unavailableUntilMicros.put(open.option, now + RETRY_PAUSE_MICROS);
      }
      case UNKNOWN -> open.retryMicros = now + RETRY_PAUSE_MICROS;
    }
  }

  private void addRented(OpenRequest open, List<String> machineIds, long now) {
    RentalRequest request = open.request;
    if (machineIds.size() < request.count()) {
      unavailableUntilMicros.put(open.option, now + NO_CAPACITY_PAUSE_MICROS);
    }
    log.info(
        "rented {} of {} requested machines of type {} in zone {}{}",
        machineIds.size(),
        request.count(),
        request.machineType(),
        request.zone(),
        request.spot() ? ", spot" : "");
    context.metrics().count("machines_rented", machineIds.size());
    capacityAddedMicros = now;
    onChange.run();
    sharing.claimRented(machineIds, machineId -> addMachine(machineId, open.option, now));
  }

  private void addMachine(String machineId, RentalPlan.RentalOption option, long rentedMicros) {
    if (fleet.machine(machineId) == null && !isReturned.test(machineId)) {
      fleet.add(
          new Machine(
              machineId, null, option.machineType(), option.zone(), option.spot(), rentedMicros));
    }
  }
}
