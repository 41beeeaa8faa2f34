package plumlever.leader;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.cloud.CloudClient;
import plumlever.election.DelegatedRenewal;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.scaling.RentalPlan;
import plumlever.wire.Flavor;
import plumlever.wire.HostEntry;

/**
 * Rents and returns machines, keeps the record of those that may hold tasks, and finds the ones
 * that are gone.
 */
final class MachineManager {
  private static final long LIST_EVERY_MICROS = 6_000_000;
  private static final long CATALOG_EVERY_MICROS = 30_000_000;
  private static final long NO_CAPACITY_PAUSE_MICROS = 12_000_000;
  private static final long REPEAT_MICROS = 2_000_000;

  /**
   * Added to a lease before it surely has lapsed: both clocks' drift, an answer on its way, a late
   * timer.
   */
  private static final long LAPSE_MARGIN_MICROS = 1_500_000;

  private static final double DRIFT = 0.002;
  private static final int MOST_PER_ROUND = 300;

  /** The cloud charges at least this for a machine. */
  private static final long LEAST_CHARGE_MICROS = 58_000_000;

  private static final long SIZE_EVERY_MICROS = 3_000_000;
  private static final long HOLD_UP_MICROS = 2_000_000;

  /** How long a leader that steps aside leaves the office to others. */
  private static final long AWAY_MICROS = 10_000_000;

  /** A machine heard of this lately can be reached. */
  private static final long REACHED_MICROS = 1_500_000;

  /** A thread as late as this has read too little to judge who is silent. */
  private static final long LATE_MICROS = 1_000_000;

  private static final int PROBES = 3;

  /** Names of returned machines kept, so that late copies of their reports bring none back. */
  private static final int REMEMBERED = 20_000;

  private static final class Open {
    final String name;
    final RentalPlan.Kind kind;
    final int count;
    boolean inFlight;
    long retryMicros;

    Open(String name, RentalPlan.Kind kind, int count) {
      this.name = name;
      this.kind = kind;
      this.count = count;
    }
  }

  private final Logger log;
  private final Context context;
  private final Fleet fleet;
  private final MachineRegistry registry;
  private final SchedulingPass pass;
  private final ReportHandler reports;
  private final CommandSender commands;
  private final RenewalDelegation delegation;
  private final Takeover takeover;
  private final MachineSharing sharing;
  private final RentalPlan plan;
  private final Runnable changed;
  private final Map<RentalPlan.Kind, Long> shortUntil = new HashMap<>();
  private final List<Open> open = new ArrayList<>();
  private final Set<String> deleted =
      Collections.newSetFromMap(
          new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
              return size() > REMEMBERED;
            }
          });

  /** Zones whose machines seem to be behind a cut: nothing is returned or rented there. */
  private final Map<String, Long> cutZones = new HashMap<>();

  private long punctualSinceMicros;
  private long rentalCounter;
  private int closeStep = 1;
  private long listedMicros;
  private long catalogMicros;
  private long sizedMicros;
  private long sizeChangedMicros = -1;
  private boolean listing;
  private boolean returningNow;
  private boolean cataloguing;
  private boolean closed;

  MachineManager(
      Context context,
      Fleet fleet,
      MachineRegistry registry,
      SchedulingPass pass,
      ReportHandler reports,
      CommandSender commands,
      Takeover takeover,
      MachineSharing sharing,
      Runnable changed) {
    this.sharing = sharing;
    this.context = context;
    this.log = context.logs().of(MachineManager.class);
    this.fleet = fleet;
    this.registry = registry;
    this.pass = pass;
    this.reports = reports;
    this.commands = commands;
    this.delegation = new RenewalDelegation(context);
    this.takeover = takeover;
    this.changed = changed;
    this.plan = new RentalPlan(context.prices(), context.moneyMatters());
  }

  boolean isDeleted(String host) {
    return deleted.contains(host);
  }

  /** One turn of the duty. */
  long turn() {
    if (closed || !context.term().mayAct()) {
      return 200_000;
    }
    long since = context.loop().nowMicros();
    look(since);
    context.metrics().spent("machines", context.loop().nowMicros() - since);
    return 500_000;
  }

  private void look(long now) {
    if (context.latenessMicros().getAsLong() > LATE_MICROS) {
      punctualSinceMicros = now;
    }
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
      size(now);
    }
    rent(now);
  }

  private void catalog() {
    cataloguing = true;
    context
        .cloud()
        .catalog(
            flavors -> {
              cataloguing = false;
              if (flavors != null) {
                boolean news = !context.prices().known();
                catalogMicros = context.loop().nowMicros();
                context.prices().update(flavors);
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
        .list(
            hosts -> {
              listing = false;
              if (hosts == null || closed) {
                return;
              }
              long now = context.loop().nowMicros();
              listedMicros = now;
              context.metrics().count("lists_read");
              for (HostEntry hostEntry : hosts) {
                if (deleted.contains(hostEntry.uid()) || !sharing.isOwn(hostEntry)) {
                  continue;
                }
                Machine machine = fleet.machine(hostEntry.uid());
                if (machine == null) {
                  machine =
                      new Machine(
                          hostEntry.uid(),
                          hostEntry.endpoint(),
                          hostEntry.flavor(),
                          hostEntry.site(),
                          hostEntry.loaners(),
                          now - (long) (hostEntry.ageS() * 1e6));
                  machine.returning(sharing.mustReturn(hostEntry.uid()));
                  fleet.add(machine);
                }
                machine.learnEndpoint(hostEntry.endpoint());
                machine.listed(now, hostEntry.status().equals("failed"));
              }
            });
  }

  private long lapsesAt(Machine machine) {
    if (delegation.covers(machine.site())) {
      return Long.MAX_VALUE;
    }
    // An answer of this term renewed the lease at the latest; before the first, an earlier leader
    // may have, or a
    // stand-in of its, whose last read of the mandate is good for a while longer.
    long stoodIn =
        Math.max(takeover.loadedMicros(), delegation.endedMicros(machine.site()))
            + DelegatedRenewal.VALID_MICROS;
    long renewed =
        Math.max(Math.max(stoodIn, machine.renewedElsewhereMicros()), machine.lastAnswerMicros());
    return renewed
        + (long) (context.platform().workers().leaseMicros() * (1 + DRIFT))
        + LAPSE_MARGIN_MICROS;
  }

  private void watch(long now) {
    Map<String, int[]> zones = new HashMap<>();
    for (Machine machine : fleet.machines()) {
      if (machine.heard() || takeover.open().contains(machine)) {
        int[] zoneCounts = zones.computeIfAbsent(machine.site(), k -> new int[3]);
        zoneCounts[0]++;
        zoneCounts[2] += takeover.open().contains(machine) ? 1 : 0;
        // One missed report already: machines behind a cut fall silent one after the other, and by
        // the time the
        // first is called silent all the others must have missed one as well.
        if (silentFor(machine, now) > context.platform().workers().latestReportMicros()) {
          zoneCounts[1]++;
        }
      }
    }
    if (lostItsWorkers(zones)) {
      context
          .election()
          .resign(context.term(), "its workers report to other controllers", AWAY_MICROS);
      return;
    }
    // When a cut ends, its machines find their way back one by one, so it is kept in mind for as
    // long again.
    cutZones.values().removeIf(until -> until < now);
    zones.forEach(
        (zone, z) -> {
          if (z[1] >= 2 && z[1] * 2 >= z[0]) {
            if (cutZones.put(zone, now + silentMicros()) == null) {
              log.warn("{} of {} machines in {} are silent, as behind a cut", z[1], z[0], zone);
            }
          }
        });
    reachOut(now);
    boolean crowded =
        !pass.demands().isEmpty() && shortUntil.values().stream().anyMatch(t -> t > now);
    for (Machine machine : fleet.machines()) {
      // Nobody has renewed its lease for that long, whatever it may have reported.
      if (now >= lapsesAt(machine)) {
        boolean lost = machine.running();
        reports.endSessionsBefore(machine, Long.MAX_VALUE);
        sharing.lapsed(machine);
        if (lost) {
          log.info("the lease of {} has lapsed", machine.id());
          changed.run();
        }
        if (!machine.accounted()) {
          takeover.accounted(machine, "its lease lapsed");
          changed.run();
        }
      }
      if (machine.returning()) {
        continue;
      }
      if (machine.failed()) {
        giveBack(machine, "it failed");
      } else if (!machine.heard() && !takeover.open().contains(machine)) {
        Flavor flavor = context.prices().flavor(machine.flavor());
        long patience =
            (long)
                ((flavor == null ? 60 : Math.max(flavor.startupS(), 15))
                    * 1e6
                    * context.tunables().bootFactor());
        if (now - Math.max(machine.knownSinceMicros(), takeover.startedMicros() - patience / 2)
            > patience) {
          giveBack(machine, "it does not come up");
        }
      } else if (holdsUpTakeover(machine, now, zones)) {
        giveBack(machine, "it holds up the takeover");
      } else if (silentFor(machine, now) > silentMicros()) {
        // Many silent at once in a zone look like a cut, behind which they go on working.
        int leases = delegation.covers(machine.site()) ? 6 : 2;
        if (!cutZones.containsKey(machine.site())
            || silentFor(machine, now) > leases * context.platform().workers().leaseMicros()) {
          giveBack(machine, "it is silent");
        }
      } else if (machine.draining() && !machine.running()) {
        giveBack(machine, "it is drained");
      } else if (idleTooLong(machine, crowded, now) && sharing.mayReturnIdle()) {
        giveBack(machine, "it is idle");
      }
    }
  }

  /**
   * Where a zone is cut off from here but not from another controller, that one may renew the
   * leases. Some machines of the zone are called all the time: the first that answers ends it, for
   * the workers stay where they are answered.
   */
  private void reachOut(long now) {
    Set<String> unreached = new HashSet<>();
    if (takeover.complete()) {
      unreached.addAll(cutZones.keySet());
    }
    Map<String, Integer> calls = new HashMap<>();
    for (Machine machine : fleet.machines()) {
      if (!machine.heard() || !cutZones.containsKey(machine.site())) {
        continue;
      }
      if (now - machine.lastSeenMicros() < REACHED_MICROS) {
        unreached.remove(machine.site());
      } else if (calls.merge(machine.site(), 1, Integer::sum) <= PROBES) {
        commands.raise(machine);
      }
    }
    delegation.want(unreached);
  }

  /**
   * True when most machines are silent here while many report elsewhere: this node has lost its
   * workers, not the workers their controllers. It could keep the office for ever, and no machine
   * would get an answer or an order.
   */
  private boolean lostItsWorkers(Map<String, int[]> zones) {
    int all = 0;
    int silent = 0;
    for (int[] zoneCounts : zones.values()) {
      all += zoneCounts[0];
      silent += zoneCounts[1];
    }
    return all > 0
        && silent * 10 >= all * 7
        && context.workersElsewhere().getAsInt() * 10 >= all * 4;
  }

  /**
   * True for one of few machines that neither answer calls nor report to a new leader while the
   * rest of their zone does. Mostly they were taken just before; every inherited task waits for
   * them, so they are given up sooner. One that has not been called twice in vain may just not have
   * had its turn: a large fleet takes seconds to come over.
   */
  private boolean holdsUpTakeover(Machine machine, long now, Map<String, int[]> zones) {
    if (!takeover.open().contains(machine)
        || machine.failedCalls() < 2
        || now - takeover.loadedMicros() < HOLD_UP_MICROS) {
      return false;
    }
    int[] zoneCounts = zones.get(machine.site());
    return zoneCounts != null && zoneCounts[2] * 3 <= zoneCounts[0];
  }

  /** Reports that are far apart make a machine seem silent later. */
  private long silentMicros() {
    return Math.max(
        context.tunables().silentMicros(),
        2 * context.platform().workers().reportMicros()
            + context.platform().workers().reportMicros() / 2);
  }

  private long silentFor(Machine machine, long now) {
    // What a thread that runs late has not read yet is no silence.
    return now
        - Math.max(
            machine.lastSeenMicros(), Math.max(takeover.loadedMicros(), punctualSinceMicros));
  }

  private boolean idleTooLong(Machine machine, boolean crowded, long now) {
    if (machine.running() || pass.hasPlan(machine) || !takeover.complete()) {
      machine.idleSince(-1);
      return false;
    }
    if (machine.idleSinceMicros() < 0) {
      machine.idleSince(now);
    }
    if (pass.closed().contains(machine)) {
      return now - machine.knownSinceMicros() > LEAST_CHARGE_MICROS;
    }
    // Tasks that wait although the cloud has no more may need the place of a machine that does not
    // suit them.
    long limit =
        context.moneyMatters() || crowded
            ? context.tunables().idleMoneyMicros()
            : context.tunables().idleSpeedMicros();
    return now - machine.idleSinceMicros() > limit
        && now - machine.knownSinceMicros() > LEAST_CHARGE_MICROS;
  }

  private void giveBack(Machine machine, String why) {
    log.info(
        "returning {} ({} in {}{}): {}",
        machine.id(),
        machine.flavor(),
        machine.site(),
        machine.spot() ? ", spot" : "",
        why);
    machine.returning(true);
    context.metrics().count("machines_returned");
  }

  private void returnAll(long now) {
    if (returningNow) {
      return;
    }
    List<Machine> out = new ArrayList<>();
    for (Machine machine : fleet.machines()) {
      if (machine.returning() && out.size() < CloudClient.MOST_PER_RETURN) {
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
        .giveBack(
            out.stream().map(Machine::id).toList(),
            gone -> {
              returningNow = false;
              if (!gone || closed) {
                return;
              }
              for (Machine machine : out) {
                reports.endSessionsBefore(machine, Long.MAX_VALUE);
                deleted.add(machine.id());
                fleet.remove(machine);
                takeover.accounted(machine, "it was returned");
                registry.remove(machine);
              }
              sharing.returned(out);
              changed.run();
            });
  }

  /**
   * Keeps no more machines open than the aims need. One at a time, the dearest and emptiest, is
   * closed when all that waits can do without it; the cheapest is opened again before anything is
   * rented.
   */
  private void size(long now) {
    Set<Machine> closed = pass.closed();
    closed.removeIf(m -> fleet.machine(m.id()) != m);
    if (!pass.demands().isEmpty()) {
      reopen(closed, now);
      sizedMicros = now;
      return;
    }
    if (now - sizedMicros < SIZE_EVERY_MICROS || !takeover.complete()) {
      return;
    }
    sizedMicros = now;
    List<Machine> able = new ArrayList<>();
    for (Machine machine : fleet.machines()) {
      if (machine.heard()
          && !closed.contains(machine)
          && !machine.returning()
          && !machine.draining()
          && now - machine.knownSinceMicros() > LEAST_CHARGE_MICROS) {
        able.add(machine);
      }
    }
    able.sort(
        Comparator.comparingDouble(this::price)
            .reversed()
            .thenComparingDouble(MachineManager::load));
    int step = Math.min(closeStep, able.size());
    if (step == 0) {
      return;
    }
    Set<Machine> fewer = new LinkedHashSet<>(closed);
    fewer.addAll(able.subList(0, step));
    if (pass.canDoWithout(fewer)) {
      closed.addAll(fewer);
      context.metrics().count("machines_closed", step);
      log.debug("{} more machines get no new tasks, the others will do", step);
      // A large fleet is too large by many machines at a time; what goes well is tried twice as
      // far.
      closeStep = Math.min(Math.max(1, able.size() / 10), closeStep * 2);
    } else {
      closeStep = Math.max(1, closeStep / 2);
    }
  }

  /** The cheapest closed machines, as many as hold what waits, are opened again. */
  private void reopen(Set<Machine> closed, long now) {
    double cores = 0;
    for (RentalPlan.Demand demand : pass.demands()) {
      cores += demand.tasks() * demand.job().cores();
    }
    List<Machine> able = new ArrayList<>();
    for (Machine machine : closed) {
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
      Flavor flavor = context.prices().flavor(machine.flavor());
      cores -= flavor == null ? 0 : flavor.cores() - load(machine);
      closed.remove(machine);
      any = true;
    }
    if (any) {
      sizeChangedMicros = now;
      changed.run();
    }
    closeStep = 1;
  }

  /** Price for each processor; spot prices move a little, so kinds are compared coarsely. */
  private double price(Machine machine) {
    Flavor flavor = context.prices().flavor(machine.flavor());
    return flavor == null
        ? Double.MAX_VALUE
        : Math.round(context.prices().hourly(flavor, machine.spot()) / flavor.cores() * 400);
  }

  private static double load(Machine machine) {
    double cores = 0;
    for (Attempt attempt : machine.attempts()) {
      if (!attempt.over()) {
        cores += attempt.job().spec().cores();
      }
    }
    return cores;
  }

  private void rent(long now) {
    for (Open otherOpen : new ArrayList<>(open)) {
      if (!otherOpen.inFlight && now >= otherOpen.retryMicros) {
        send(otherOpen);
      }
    }
    // Demands found before the last machine came or was opened again may be served by it: they are
    // not rented for twice.
    if (!context.prices().known()
        || !(takeover.complete() || takeover.overdue(now))
        || pass.finishedMicros() <= sizeChangedMicros
        || !sharing.mayRent()) {
      return;
    }
    // Machines that are booting are booked already; these are not known by name yet.
    List<RentalPlan.Coming> coming = new ArrayList<>();
    for (Open otherOpen : open) {
      Flavor flavor = context.prices().flavor(otherOpen.kind.flavor());
      for (int i = 0; flavor != null && i < otherOpen.count; i++) {
        coming.add(new RentalPlan.Coming(otherOpen.kind, flavor));
      }
    }
    for (RentalPlan.Kind kind : sharing.coming()) {
      Flavor flavor = context.prices().flavor(kind.flavor());
      if (flavor != null) {
        coming.add(new RentalPlan.Coming(kind, flavor));
      }
    }
    for (RentalPlan.Rental rental :
        plan.plan(
            pass.demands(),
            coming,
            k -> now >= shortUntil.getOrDefault(k, 0L) && !cutZones.containsKey(k.site()),
            MOST_PER_ROUND)) {
      if (open.size() >= 6) {
        break;
      }
      Open otherOpen =
          new Open(
              "r-" + context.term().number() + "-" + ++rentalCounter,
              rental.kind(),
              Math.min(rental.count(), CloudClient.MOST_PER_RENTAL));
      open.add(otherOpen);
      send(otherOpen);
    }
  }

  private void send(Open otherOpen) {
    if (!context.term().mayAct()) {
      return;
    }
    otherOpen.inFlight = true;
    context
        .cloud()
        .rent(
            otherOpen.name,
            otherOpen.kind.flavor(),
            otherOpen.kind.site(),
            otherOpen.kind.spot(),
            otherOpen.count,
            (outcome, hosts) -> {
              otherOpen.inFlight = false;
              long now = context.loop().nowMicros();
              switch (outcome) {
                case RENTED -> {
                  open.remove(otherOpen);
                  if (hosts.size() < otherOpen.count) {
                    shortUntil.put(otherOpen.kind, now + NO_CAPACITY_PAUSE_MICROS);
                  }
                  log.info(
                      "rented {} of {} {} in {}{}",
                      hosts.size(),
                      otherOpen.count,
                      otherOpen.kind.flavor(),
                      otherOpen.kind.site(),
                      otherOpen.kind.spot() ? ", spot" : "");
                  context.metrics().count("machines_rented", hosts.size());
                  sizeChangedMicros = now;
                  changed.run();
                  sharing.claim(hosts, host -> rented(host, otherOpen.kind, now));
                }
                case NO_CAPACITY -> {
                  open.remove(otherOpen);
                  shortUntil.put(otherOpen.kind, now + NO_CAPACITY_PAUSE_MICROS);
                }
                case NOT_NOW -> {
                  // Surely not rented; the need is looked at anew after a pause.
                  open.remove(otherOpen);
                  shortUntil.put(otherOpen.kind, now + REPEAT_MICROS);
                }
                // It may have been rented: the same name is asked for until that is known.
                case UNKNOWN -> otherOpen.retryMicros = now + REPEAT_MICROS;
              }
            });
  }

  private void rented(String host, RentalPlan.Kind kind, long now) {
    if (fleet.machine(host) == null && !deleted.contains(host)) {
      fleet.add(new Machine(host, null, kind.flavor(), kind.site(), kind.spot(), now));
    }
  }

  void close() {
    closed = true;
  }
}
