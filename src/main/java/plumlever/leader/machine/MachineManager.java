package plumlever.leader.machine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.cloud.CloudClient;
import plumlever.election.DelegatedRenewal;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.leader.context.Context;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.failover.Failover;
import plumlever.leader.heartbeat.HeartbeatHandler;
import plumlever.leader.heartbeat.RenewalDelegation;
import plumlever.leader.scheduling.CommandSender;
import plumlever.leader.scheduling.SchedulingPass;
import plumlever.wire.ListedMachine;
import plumlever.wire.MachineType;

/**
 * Rents and returns machines, keeps the record of those that may hold tasks, and finds the ones
 * that are gone.
 */
public final class MachineManager {
  private static final long LIST_EVERY_MICROS = 6_000_000;
  private static final long CATALOG_EVERY_MICROS = 30_000_000;

  /**
   * Added to a lease before it surely has lapsed: both clocks' drift, an answer on its way, a late
   * timer.
   */
  private static final long LAPSE_MARGIN_MICROS = 1_500_000;

  private static final double DRIFT = 0.002;
  private static final long HOLD_UP_MICROS = 2_000_000;

  /** How long a leader that steps aside leaves leadership to others. */
  private static final long AWAY_MICROS = 10_000_000;

  /** A machine heard of this lately can be reached. */
  private static final long REACHED_MICROS = 1_500_000;

  private static final int PROBES = 3;

  /** Names of returned machines kept, so that late copies of their heartbeats bring none back. */
  private static final int REMEMBERED = 20_000;

  /** What a turn of the duty and the pause before its first one take. */
  private static final long TURN_MICROS = 500_000;

  private static final long NOT_YET_MICROS = 200_000;

  /** Leases for which machines behind a cut may be silent, without and with delegated renewal. */
  private static final int LEASES_BEHIND_CUT = 2;

  private static final int LEASES_DELEGATED = 6;

  /** What a machine of an unknown type, and any machine at least, takes to boot. */
  private static final double UNKNOWN_BOOT_S = 60;

  private static final double LEAST_BOOT_S = 15;

  private final Logger log;
  private final Context context;
  private final Fleet fleet;
  private final MachineRegistry registry;
  private final SchedulingPass pass;
  private final HeartbeatHandler heartbeats;
  private final CommandSender commands;
  private final RenewalDelegation delegation;
  private final Failover failover;
  private final MachineSharing sharing;
  private final MachineSilence silence;
  private final MachineRentals rentals;
  private final FleetSizing sizing;
  private final Runnable changed;
  private final Set<String> deleted =
      Collections.newSetFromMap(
          new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
              return size() > REMEMBERED;
            }
          });

  private long listedMicros;
  private long catalogMicros;
  private boolean listing;
  private boolean returningNow;
  private boolean cataloguing;
  private boolean closed;

  /**
   * Manages the machines of one term.
   *
   * @param changed runs when something changed that placement depends on
   */
  public MachineManager(
      Context context,
      Fleet fleet,
      MachineRegistry registry,
      SchedulingPass pass,
      HeartbeatHandler heartbeats,
      CommandSender commands,
      RenewalDelegation delegation,
      Failover failover,
      MachineSharing sharing,
      Runnable changed) {
    this.sharing = sharing;
    this.context = context;
    this.log = context.logs().of(MachineManager.class);
    this.fleet = fleet;
    this.registry = registry;
    this.pass = pass;
    this.heartbeats = heartbeats;
    this.commands = commands;
    this.delegation = delegation;
    this.failover = failover;
    this.changed = changed;
    this.silence = new MachineSilence(context, fleet, failover);
    this.rentals =
        new MachineRentals(
            context, fleet, pass, failover, sharing, deleted::contains, silence::isCut, changed);
    this.sizing = new FleetSizing(context, fleet, pass, failover, rentals, changed);
  }

  public boolean isDeleted(String machineId) {
    return deleted.contains(machineId);
  }

  /** One turn of the duty. */
  public long runOnce() {
    if (closed || !context.term().mayAct()) {
      return NOT_YET_MICROS;
    }
    long since = context.loop().nowMicros();
    look(since);
    context.metrics().recordWork("machines", context.loop().nowMicros() - since);
    return TURN_MICROS;
  }

  private void look(long now) {
    silence.noteLateness(now);
    if (!listing && now - listedMicros >= LIST_EVERY_MICROS) {
      list();
    }
    if (!cataloguing && now - catalogMicros >= CATALOG_EVERY_MICROS) {
      catalog();
    }
    watch(now);
    if (closed) {
      return;
    }
    returnAll(now);
    if (context.moneyMatters()) {
      sizing.size(now);
    }
    rentals.rent(now);
  }

  private void catalog() {
    cataloguing = true;
    context
        .cloud()
        .listMachineTypes(
            machineTypes -> {
              cataloguing = false;
              if (machineTypes != null) {
                boolean news = !context.prices().isLoaded();
                catalogMicros = context.loop().nowMicros();
                context.prices().update(machineTypes);
                if (news) {
                  changed.run();
                }
              }
            });
  }

  private void list() {
    listing = true;
    context
        .cloud()
        .listMachines(
            machineIds -> {
              listing = false;
              if (machineIds == null || closed) {
                return;
              }
              long now = context.loop().nowMicros();
              listedMicros = now;
              context.metrics().count("machine_lists_read");
              for (ListedMachine listedMachine : machineIds) {
                if (deleted.contains(listedMachine.id()) || !sharing.isOwn(listedMachine)) {
                  continue;
                }
                Machine machine = fleet.machine(listedMachine.id());
                if (machine == null) {
                  machine =
                      new Machine(
                          listedMachine.id(),
                          listedMachine.endpoint(),
                          listedMachine.machineType(),
                          listedMachine.zone(),
                          listedMachine.spot(),
                          now - (long) (listedMachine.ageS() * 1e6));
                  machine.setReturning(sharing.mustReturn(listedMachine.id()));
                  fleet.add(machine);
                }
                machine.learnEndpoint(listedMachine.endpoint());
                machine.recordListing(listedMachine.status().equals("failed"));
              }
            });
  }

  private long lapsesAt(Machine machine) {
    if (delegation.covers(machine.zone())) {
      return Long.MAX_VALUE;
    }
    // An answer of this term renewed the lease at the latest; before the first, an earlier leader
    // may have, or a delegate of its, whose last read of the delegation is good for a while longer.
    long renewedForLeader =
        Math.max(failover.loadedMicros(), delegation.endedMicros(machine.zone()))
            + DelegatedRenewal.VALID_MICROS;
    long renewed =
        Math.max(
            Math.max(renewedForLeader, machine.contact().renewedElsewhereMicros()),
            machine.contact().lastRenewalMicros());
    return renewed
        + (long) (context.platform().workers().leaseMicros() * (1 + DRIFT))
        + LAPSE_MARGIN_MICROS;
  }

  private void watch(long now) {
    silence.look(now);
    if (silence.lostItsWorkers()) {
      context
          .election()
          .resign(context.term(), "its workers report to other controllers", AWAY_MICROS);
      return;
    }
    silence.noteCuts(now);
    reachOut(now);
    boolean crowded = !pass.demands().isEmpty() && rentals.anyShort(now);
    for (Machine machine : fleet.machines()) {
      endLapsed(machine, now);
      if (!machine.returning()) {
        String reason = reasonToReturn(machine, crowded, now);
        if (reason != null) {
          giveBack(machine, reason);
        }
      }
    }
  }

  /** Nobody has renewed its lease for that long, whatever it may have reported. */
  private void endLapsed(Machine machine, long now) {
    if (now < lapsesAt(machine)) {
      return;
    }
    boolean lost = machine.load().mayRunTasks();
    heartbeats.endIncarnationsBefore(machine, Long.MAX_VALUE);
    sharing.lapsed(machine);
    if (lost) {
      log.info("the lease of {} has lapsed", machine.id());
      changed.run();
    }
    if (!machine.accounted()) {
      failover.accounted(machine, "its lease lapsed");
      changed.run();
    }
  }

  /**
   * @return null to keep it
   */
  private String reasonToReturn(Machine machine, boolean crowded, long now) {
    if (machine.failed()) {
      return "it failed";
    }
    if (!machine.contact().hasReported() && !failover.open().contains(machine)) {
      return bootsTooLong(machine, now) ? "it does not come up" : null;
    }
    if (holdsUpFailover(machine, now)) {
      return "it holds up the failover";
    }
    if (silence.of(machine, now) > silence.mostMicros()) {
      return isGone(machine, now) ? "it is silent" : null;
    }
    if (machine.draining() && !machine.load().mayRunTasks()) {
      return "it is drained";
    }
    return idleTooLong(machine, crowded, now) && sharing.mayReturnIdle() ? "it is idle" : null;
  }

  private boolean bootsTooLong(Machine machine, long now) {
    MachineType machineType = context.prices().machineType(machine.machineType());
    double bootS =
        machineType == null ? UNKNOWN_BOOT_S : Math.max(machineType.startupS(), LEAST_BOOT_S);
    long patience = (long) (bootS * 1e6 * context.parameters().bootFactor());
    long since = Math.max(machine.knownSinceMicros(), failover.startedMicros() - patience / 2);
    return now - since > patience;
  }

  /** Many silent at once in a zone look like a cut, behind which they go on working. */
  private boolean isGone(Machine machine, long now) {
    int leases = delegation.covers(machine.zone()) ? LEASES_DELEGATED : LEASES_BEHIND_CUT;
    return !silence.isCut(machine.zone())
        || silence.of(machine, now) > leases * context.platform().workers().leaseMicros();
  }

  /**
   * Where a zone is cut off from here but not from another controller, that one may renew the
   * leases. Some machines of the zone are called all the time: the first that answers ends it, for
   * the workers stay where they are answered.
   */
  private void reachOut(long now) {
    Set<String> unreached = new HashSet<>();
    if (failover.complete()) {
      unreached.addAll(silence.cutZones());
    }
    Map<String, Integer> calls = new HashMap<>();
    for (Machine machine : fleet.machines()) {
      if (!machine.contact().hasReported() || !silence.isCut(machine.zone())) {
        continue;
      }
      if (now - machine.contact().lastSeenMicros() < REACHED_MICROS) {
        unreached.remove(machine.zone());
      } else if (calls.merge(machine.zone(), 1, Integer::sum) <= PROBES) {
        commands.probe(machine);
      }
    }
    delegation.want(unreached);
  }

  /**
   * True for one of few machines that neither answer calls nor report to a new leader while the
   * rest of their zone does. Mostly they were taken just before; every inherited task waits for
   * them, so they are given up sooner. One that has not been called twice in vain may just not have
   * had its turn: a large fleet takes seconds to come over.
   */
  private boolean holdsUpFailover(Machine machine, long now) {
    if (!failover.open().contains(machine)
        || machine.contact().consecutiveFailedCalls() < 2
        || now - failover.loadedMicros() < HOLD_UP_MICROS) {
      return false;
    }
    return silence.isMostlyTakenOver(machine.zone());
  }

  private boolean idleTooLong(Machine machine, boolean crowded, long now) {
    if (machine.load().mayRunTasks() || pass.hasPlan(machine) || !failover.complete()) {
      machine.setIdleSince(-1);
      return false;
    }
    if (machine.idleSinceMicros() < 0) {
      machine.setIdleSince(now);
    }
    if (pass.cordoned().contains(machine)) {
      return now - machine.knownSinceMicros() > FleetSizing.LEAST_CHARGE_MICROS;
    }
    // Tasks that wait although the cloud has no more may need the place of a machine that does not
    // suit them.
    long limit =
        context.moneyMatters() || crowded
            ? context.parameters().idleMoneyMicros()
            : context.parameters().idleSpeedMicros();
    return now - machine.idleSinceMicros() > limit
        && now - machine.knownSinceMicros() > FleetSizing.LEAST_CHARGE_MICROS;
  }

  private void giveBack(Machine machine, String why) {
    log.info(
        "returning {} ({} in {}{}): {}",
        machine.id(),
        machine.machineType(),
        machine.zone(),
        machine.spot() ? ", spot" : "",
        why);
    machine.setReturning(true);
    context.metrics().count("machines_returned");
  }

  private void returnAll(long now) {
    if (returningNow) {
      return;
    }
    List<Machine> out = new ArrayList<>();
    for (Machine machine : fleet.machines()) {
      if (machine.returning() && out.size() < CloudClient.MAX_MACHINES_PER_RETURN) {
        out.add(machine);
      }
    }
    if (out.isEmpty()) {
      return;
    }
    returningNow = true;
    sharing.retire(out, () -> giveBack(out));
  }

  private void giveBack(List<Machine> out) {
    if (closed || !context.term().mayAct()) {
      returningNow = false;
      return;
    }
    context
        .cloud()
        .returnMachines(
            out.stream().map(Machine::id).toList(),
            gone -> {
              returningNow = false;
              if (!gone || closed) {
                return;
              }
              for (Machine machine : out) {
                heartbeats.endIncarnationsBefore(machine, Long.MAX_VALUE);
                deleted.add(machine.id());
                fleet.remove(machine);
                failover.accounted(machine, "it was returned");
                registry.remove(machine);
              }
              sharing.returned(out);
              changed.run();
            });
  }

  public void close() {
    closed = true;
  }
}
