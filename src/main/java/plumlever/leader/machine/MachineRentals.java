package plumlever.leader.machine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import plumlever.cloud.CloudClient;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.leader.context.Context;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.failover.Failover;
import plumlever.leader.scheduling.SchedulingPass;
import plumlever.scaling.RentalPlan;
import plumlever.wire.MachineType;

/** Rents machines for what waits; a request without an answer is repeated until it has one. */
final class MachineRentals {
  private static final long NO_CAPACITY_PAUSE_MICROS = 12_000_000;
  private static final long REPEAT_MICROS = 2_000_000;
  private static final int MOST_PER_PASS = 300;
  private static final int MOST_OPEN = 6;

  /** A request that is not settled. */
  private static final class OpenRental {
    private final String name;
    private final RentalPlan.RentalOption kind;
    private final int count;
    private boolean inFlight;
    private long retryMicros;

    OpenRental(String name, RentalPlan.RentalOption kind, int count) {
      this.name = name;
      this.kind = kind;
      this.count = count;
    }
  }

  private final Logger log;
  private final Context context;
  private final Fleet fleet;
  private final SchedulingPass pass;
  private final Failover failover;
  private final MachineSharing sharing;
  private final Predicate<String> isDeleted;
  private final Predicate<String> isCut;
  private final Runnable changed;
  private final RentalPlan plan;
  private final Map<RentalPlan.RentalOption, Long> shortUntil = new HashMap<>();
  private final List<OpenRental> open = new ArrayList<>();
  private long rentalCounter;
  private long sizeChangedMicros = -1;

  /**
   * @param isDeleted tells of a machine's name whether it was returned
   * @param isCut tells of a zone whether it seems to be behind a cut: nothing is rented there
   */
  MachineRentals(
      Context context,
      Fleet fleet,
      SchedulingPass pass,
      Failover failover,
      MachineSharing sharing,
      Predicate<String> isDeleted,
      Predicate<String> isCut,
      Runnable changed) {
    this.context = context;
    this.log = context.logs().of(MachineRentals.class);
    this.fleet = fleet;
    this.pass = pass;
    this.failover = failover;
    this.sharing = sharing;
    this.isDeleted = isDeleted;
    this.isCut = isCut;
    this.changed = changed;
    this.plan = new RentalPlan(context.prices(), context.moneyMatters());
  }

  /** True while the cloud has no more of some kind, as far as is known. */
  boolean anyShort(long now) {
    return shortUntil.values().stream().anyMatch(until -> until > now);
  }

  /** There is more room: demands found before may be served by it. */
  void sizeChanged(long now) {
    sizeChangedMicros = now;
  }

  /** Rents what the last round lacked, and repeats what had no answer. */
  void rent(long now) {
    for (OpenRental rental : new ArrayList<>(open)) {
      if (!rental.inFlight && now >= rental.retryMicros) {
        send(rental);
      }
    }
    // Demands found before the last machine came or was opened again may be served by it: they are
    // not rented for twice.
    if (!context.prices().known()
        || !(failover.complete() || failover.overdue(now))
        || pass.finishedMicros() <= sizeChangedMicros
        || !sharing.mayRent()) {
      return;
    }
    // Machines that are booting are booked already; these are not known by name yet.
    List<RentalPlan.IncomingMachine> coming = new ArrayList<>();
    for (OpenRental rental : open) {
      MachineType machineType = context.prices().machineType(rental.kind.machineType());
      for (int i = 0; machineType != null && i < rental.count; i++) {
        coming.add(new RentalPlan.IncomingMachine(rental.kind, machineType));
      }
    }
    for (RentalPlan.RentalOption kind : sharing.coming()) {
      MachineType machineType = context.prices().machineType(kind.machineType());
      if (machineType != null) {
        coming.add(new RentalPlan.IncomingMachine(kind, machineType));
      }
    }
    for (RentalPlan.RentalRequest planned :
        plan.plan(
            pass.demands(),
            coming,
            k -> now >= shortUntil.getOrDefault(k, 0L) && !isCut.test(k.zone()),
            MOST_PER_PASS)) {
      if (open.size() >= MOST_OPEN) {
        break;
      }
      OpenRental rental =
          new OpenRental(
              "r-" + context.term().number() + "-" + ++rentalCounter,
              planned.option(),
              Math.min(planned.count(), CloudClient.MOST_PER_RENTAL));
      open.add(rental);
      send(rental);
    }
  }

  private void send(OpenRental rental) {
    if (!context.term().mayAct()) {
      return;
    }
    rental.inFlight = true;
    context
        .cloud()
        .rent(
            rental.name,
            rental.kind.machineType(),
            rental.kind.zone(),
            rental.kind.spot(),
            rental.count,
            (outcome, machineIds) -> {
              rental.inFlight = false;
              long now = context.loop().nowMicros();
              switch (outcome) {
                case RENTED -> {
                  open.remove(rental);
                  if (machineIds.size() < rental.count) {
                    shortUntil.put(rental.kind, now + NO_CAPACITY_PAUSE_MICROS);
                  }
                  log.info(
                      "rented {} of {} {} in {}{}",
                      machineIds.size(),
                      rental.count,
                      rental.kind.machineType(),
                      rental.kind.zone(),
                      rental.kind.spot() ? ", spot" : "");
                  context.metrics().count("machines_rented", machineIds.size());
                  sizeChangedMicros = now;
                  changed.run();
                  sharing.claim(machineIds, machineId -> rented(machineId, rental.kind, now));
                }
                case NO_CAPACITY -> {
                  open.remove(rental);
                  shortUntil.put(rental.kind, now + NO_CAPACITY_PAUSE_MICROS);
                }
                case NOT_NOW -> {
                  // Surely not rented; the need is looked at anew after a pause.
                  open.remove(rental);
                  shortUntil.put(rental.kind, now + REPEAT_MICROS);
                }
                // It may have been rented: the same name is asked for until that is known.
                case UNKNOWN -> rental.retryMicros = now + REPEAT_MICROS;
              }
            });
  }

  private void rented(String machineId, RentalPlan.RentalOption kind, long now) {
    if (fleet.machine(machineId) == null && !isDeleted.test(machineId)) {
      fleet.add(new Machine(machineId, null, kind.machineType(), kind.zone(), kind.spot(), now));
    }
  }
}
