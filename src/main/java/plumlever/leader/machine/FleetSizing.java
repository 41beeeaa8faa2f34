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
import plumlever.leader.context.Context;
import plumlever.leader.failover.Failover;
import plumlever.leader.scheduling.SchedulingPass;
import plumlever.scaling.RentalPlan;
import plumlever.wire.MachineType;

/** Closes machines that the aims can do without, where money matters, and opens them again. */
final class FleetSizing {
  /** The cloud charges at least this for a machine. */
  static final long LEAST_CHARGE_MICROS = 58_000_000;

  private static final long SIZE_EVERY_MICROS = 3_000_000;

  /** Prices for each processor and hour are compared in steps of this part of one. */
  private static final double COARSE = 400;

  private final Logger log;
  private final Context context;
  private final Fleet fleet;
  private final SchedulingPass pass;
  private final Failover failover;
  private final MachineRentals rentals;
  private final Runnable changed;
  private int cordonStep = 1;
  private long sizedMicros;

  FleetSizing(
      Context context,
      Fleet fleet,
      SchedulingPass pass,
      Failover failover,
      MachineRentals rentals,
      Runnable changed) {
    this.context = context;
    this.log = context.logs().of(FleetSizing.class);
    this.fleet = fleet;
    this.pass = pass;
    this.failover = failover;
    this.rentals = rentals;
    this.changed = changed;
  }

  /**
   * Keeps no more machines open than the aims need. One at a time, the dearest and emptiest, is
   * closed when all that waits can do without it; the cheapest is opened again before anything is
   * rented.
   */
  void size(long now) {
    Set<Machine> cordoned = pass.cordoned();
    cordoned.removeIf(m -> fleet.machine(m.id()) != m);
    if (!pass.demands().isEmpty()) {
      uncordon(cordoned, now);
      sizedMicros = now;
      return;
    }
    if (now - sizedMicros < SIZE_EVERY_MICROS || !failover.complete()) {
      return;
    }
    sizedMicros = now;
    List<Machine> able = new ArrayList<>();
    for (Machine machine : fleet.machines()) {
      if (machine.contact().hasReported()
          && !cordoned.contains(machine)
          && !machine.returning()
          && !machine.draining()
          && now - machine.knownSinceMicros() > LEAST_CHARGE_MICROS) {
        able.add(machine);
      }
    }
    able.sort(
        Comparator.comparingDouble(this::price).reversed().thenComparingDouble(FleetSizing::load));
    int step = Math.min(cordonStep, able.size());
    if (step == 0) {
      return;
    }
    Set<Machine> fewer = new LinkedHashSet<>(cordoned);
    fewer.addAll(able.subList(0, step));
    if (pass.canDoWithout(fewer)) {
      cordoned.addAll(fewer);
      context.metrics().count("machines_cordoned", step);
      log.debug("{} more machines are cordoned, the others suffice", step);
      // A large fleet is too large by many machines at a time; what goes well is tried twice as
      // far.
      cordonStep = Math.min(Math.max(1, able.size() / 10), cordonStep * 2);
    } else {
      cordonStep = Math.max(1, cordonStep / 2);
    }
  }

  /** The cheapest closed machines, as many as hold what waits, are opened again. */
  private void uncordon(Set<Machine> cordoned, long now) {
    double cores = 0;
    for (RentalPlan.Demand demand : pass.demands()) {
      cores += demand.tasks() * demand.job().cores();
    }
    List<Machine> able = new ArrayList<>();
    for (Machine machine : cordoned) {
      if (!machine.returning() && !machine.draining()) {
        able.add(machine);
      }
    }
    able.sort(Comparator.comparingDouble(this::price));
    boolean any = false;
    for (Machine machine : able) {
      if (any && cores <= 0) {
        break;
      }
      MachineType machineType = context.prices().machineType(machine.machineType());
      cores -= machineType == null ? 0 : machineType.cores() - load(machine);
      cordoned.remove(machine);
      any = true;
    }
    if (any) {
      rentals.sizeChanged(now);
      changed.run();
    }
    cordonStep = 1;
  }

  /** Price for each processor; spot prices move a little, so kinds are compared coarsely. */
  private double price(Machine machine) {
    MachineType machineType = context.prices().machineType(machine.machineType());
    return machineType == null
        ? Double.MAX_VALUE
        : Math.round(
            context.prices().hourlyPrice(machineType, machine.spot())
                / machineType.cores()
                * COARSE);
  }

  private static double load(Machine machine) {
    double cores = 0;
    for (Attempt attempt : machine.load().attempts()) {
      if (!attempt.over()) {
        cores += attempt.job().spec().cores();
      }
    }
    return cores;
  }
}
