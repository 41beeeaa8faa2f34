package plumlever.leader.machine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.scheduling.SchedulingPass;
import plumlever.scaling.RentalPlan;
import plumlever.wire.MachineType;

/**
 * Cordons machines (they receive no new tasks) that are not needed to meet the service-level
 * objectives, if cost matters, and uncordons machines when there is demand for more capacity.
 */
final class FleetSizing {
  /**
   * Minimum age of a machine that may be cordoned. At this age, the minimum time that the cloud
   * charges for a machine is used up.
   */
  static final long MIN_CHARGE_MICROS = 58_000_000;

  private static final long INTERVAL_MICROS = 3_000_000;

  /**
   * Prices per core and hour are rounded to multiples of 1/400 before they are compared, because
   * spot prices fluctuate.
   */
  private static final double PRICE_STEPS = 400;

  /** At most 1/10 of the machines that may be cordoned is cordoned at a time. */
  private static final int MAX_STEP_DIVISOR = 10;

  private final Logger log;
  private final TermContext context;
  private final Fleet fleet;
  private final SchedulingPass pass;
  private final Failover failover;
  private final MachineRentals rentals;
  private final Runnable onChange;

  /** Number of machines to cordon next: doubled after a success, halved after a failure. */
  private int step = 1;

  private long adjustedMicros;

  /**
   * @param onChange runs when something changed that placement depends on
   */
  FleetSizing(
      TermContext context,
      Fleet fleet,
      SchedulingPass pass,
      Failover failover,
      MachineRentals rentals,
      Runnable onChange) {
    this.context = context;
    this.log = context.loggerProvider().of(FleetSizing.class);
    this.fleet = fleet;
    this.pass = pass;
    this.failover = failover;
    this.rentals = rentals;
    this.onChange = onChange;
  }

  /**
   * Keeps only as many machines in use as are needed. While there is no rental demand, the most
   * expensive and then emptiest machines are cordoned, provided that the remaining machines
   * suffice. While there is rental demand, the cheapest cordoned machines are uncordoned before any
   * machine is rented.
   */
  void adjust(long now) {
    Set<Machine> cordoned = pass.cordoned();
    cordoned.removeIf(machine -> fleet.machine(machine.id()) != machine);
    if (!pass.demands().isEmpty()) {
      uncordon(cordoned, now);
      adjustedMicros = now;
    } else if (now - adjustedMicros >= INTERVAL_MICROS && failover.isComplete()) {
      adjustedMicros = now;
      cordonMore(cordoned, now);
    }
  }

  private void cordonMore(Set<Machine> cordoned, long now) {
    List<Machine> candidates = candidates(cordoned, now);
    int count = Math.min(step, candidates.size());
    if (count == 0) {
      return;
    }
    Set<Machine> more = new LinkedHashSet<>(cordoned);
    more.addAll(candidates.subList(0, count));
    if (pass.canRemoveMachines(more)) {
      cordoned.addAll(more);
      context.metrics().count("machines_cordoned", count);
      log.debug("cordoned {} more machines: the remaining machines suffice", count);
      step = Math.min(Math.max(1, candidates.size() / MAX_STEP_DIVISOR), step * 2);
    } else {
      step = Math.max(1, step / 2);
    }
  }

  /**
   * Returns the machines that may be cordoned, the most expensive first and, at the same price, the
   * emptiest first.
   */
  private List<Machine> candidates(Set<Machine> cordoned, long now) {
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : fleet.machines()) {
      if (machine.contact().hasSentHeartbeat()
          && !cordoned.contains(machine)
          && !machine.returning()
          && !machine.draining()
          && now - machine.knownSinceMicros() > MIN_CHARGE_MICROS) {
        candidates.add(machine);
      }
    }
    candidates.sort(
        Comparator.comparingDouble(this::pricePerCore)
            .reversed()
            .thenComparingDouble(FleetSizing::coresInUse));
    return candidates;
  }

  /**
   * Makes the cheapest cordoned machines available for placement again, as many as the rental
   * demand needs, but at least one.
   */
  private void uncordon(Set<Machine> cordoned, long now) {
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : cordoned) {
      if (!machine.returning() && !machine.draining()) {
        candidates.add(machine);
      }
    }
    candidates.sort(Comparator.comparingDouble(this::pricePerCore));
    double missingCores = coresDemanded();
    boolean any = false;
    for (Machine machine : candidates) {
      if (any && missingCores <= 0) {
        break;
      }
      MachineType machineType = context.typeCatalog().machineType(machine.machineType());
      missingCores -= machineType == null ? 0 : machineType.cores() - coresInUse(machine);
      cordoned.remove(machine);
      any = true;
    }
    if (any) {
      rentals.recordAddedCapacity(now);
      onChange.run();
    }
    step = 1;
  }

  private double coresDemanded() {
    double cores = 0;
    for (RentalPlan.Demand demand : pass.demands()) {
      cores += demand.tasks() * demand.job().cores();
    }
    return cores;
  }

  private double pricePerCore(Machine machine) {
    MachineType machineType = context.typeCatalog().machineType(machine.machineType());
    return machineType == null
        ? Double.MAX_VALUE
        : Math.round(
            context.typeCatalog().hourlyPrice(machineType, machine.spot())
                / machineType.cores()
                * PRICE_STEPS);
  }

  private static double coresInUse(Machine machine) {
    double cores = 0;
    for (Attempt attempt : machine.load().attempts()) {
      if (!attempt.hasEnded()) {
        cores += attempt.job().spec().cores();
      }
    }
    return cores;
  }
}
