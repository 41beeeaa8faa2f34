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
import plumlever.election.StandIn;
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
final class Machines {
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
  private static final int REMEMBERED = 4_000;

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
  private final Roster roster;
  private final Round round;
  private final Reports reports;
  private final Direct direct;
  private final Mandate mandate;
  private final Takeover takeover;
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

  Machines(
      Context context,
      Fleet fleet,
      Roster roster,
      Round round,
      Reports reports,
      Direct direct,
      Takeover takeover,
      Runnable changed) {
    this.context = context;
    this.log = context.logs().of(Machines.class);
    this.fleet = fleet;
    this.roster = roster;
    this.round = round;
    this.reports = reports;
    this.direct = direct;
    this.mandate = new Mandate(context);
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
              for (HostEntry h : hosts) {
                if (deleted.contains(h.uid())) {
                  continue;
                }
                Machine m = fleet.machine(h.uid());
                if (m == null) {
                  m =
                      new Machine(
                          h.uid(),
                          h.endpoint(),
                          h.flavor(),
                          h.site(),
                          h.loaners(),
                          now - (long) (h.ageS() * 1e6));
                  fleet.add(m);
                }
                m.learnEndpoint(h.endpoint());
                m.listed(now, h.status().equals("failed"));
              }
            });
  }

  private long lapsesAt(Machine m) {
    if (mandate.covers(m.site())) {
      return Long.MAX_VALUE;
    }
    // An answer of this term renewed the lease at the latest; before the first, an earlier leader
    // may have, or a
    // stand-in of its, whose last read of the mandate is good for a while longer.
    long stoodIn =
        Math.max(takeover.loadedMicros(), mandate.endedMicros(m.site())) + StandIn.VALID_MICROS;
    long renewed = Math.max(stoodIn, m.lastAnswerMicros());
    return renewed
        + (long) (context.platform().workers().leaseMicros() * (1 + DRIFT))
        + LAPSE_MARGIN_MICROS;
  }

  private void watch(long now) {
    Map<String, int[]> zones = new HashMap<>();
    for (Machine m : fleet.machines()) {
      if (m.heard() || takeover.open().contains(m)) {
        int[] z = zones.computeIfAbsent(m.site(), k -> new int[3]);
        z[0]++;
        z[2] += takeover.open().contains(m) ? 1 : 0;
        // One missed report already: machines behind a cut fall silent one after the other, and by
        // the time the
        // first is called silent all the others must have missed one as well.
        if (silentFor(m, now) > context.platform().workers().latestReportMicros()) {
          z[1]++;
        }
      }
    }
    if (lostItsWorkers(zones)) {
      context
          .office()
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
        !round.demands().isEmpty() && shortUntil.values().stream().anyMatch(t -> t > now);
    for (Machine m : fleet.machines()) {
      // Nobody has renewed its lease for that long, whatever it may have reported.
      if (now >= lapsesAt(m)) {
        boolean lost = m.running();
        reports.endSessionsBefore(m, Long.MAX_VALUE);
        if (lost) {
          log.info("the lease of {} has lapsed", m.id());
          changed.run();
        }
        if (!m.accounted()) {
          takeover.accounted(m, "its lease lapsed");
          changed.run();
        }
      }
      if (m.returning()) {
        continue;
      }
      if (m.failed()) {
        giveBack(m, "it failed");
      } else if (!m.heard() && !takeover.open().contains(m)) {
        Flavor f = context.prices().flavor(m.flavor());
        long patience =
            (long)
                ((f == null ? 60 : Math.max(f.startupS(), 15))
                    * 1e6
                    * context.tunables().bootFactor());
        if (now - Math.max(m.knownSinceMicros(), takeover.startedMicros() - patience / 2)
            > patience) {
          giveBack(m, "it does not come up");
        }
      } else if (holdsUpTakeover(m, now, zones)) {
        giveBack(m, "it holds up the takeover");
      } else if (silentFor(m, now) > silentMicros()) {
        // Many silent at once in a zone look like a cut, behind which they go on working.
        int leases = mandate.covers(m.site()) ? 6 : 2;
        if (!cutZones.containsKey(m.site())
            || silentFor(m, now) > leases * context.platform().workers().leaseMicros()) {
          giveBack(m, "it is silent");
        }
      } else if (m.draining() && !m.running()) {
        giveBack(m, "it is drained");
      } else if (idleTooLong(m, crowded, now)) {
        giveBack(m, "it is idle");
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
    for (Machine m : fleet.machines()) {
      if (!m.heard() || !cutZones.containsKey(m.site())) {
        continue;
      }
      if (now - m.lastSeenMicros() < REACHED_MICROS) {
        unreached.remove(m.site());
      } else if (calls.merge(m.site(), 1, Integer::sum) <= PROBES) {
        direct.raise(m);
      }
    }
    mandate.want(unreached);
  }

  /**
   * True when most machines are silent here while many report elsewhere: this node has lost its
   * workers, not the workers their controllers. It could keep the office for ever, and no machine
   * would get an answer or an order.
   */
  private boolean lostItsWorkers(Map<String, int[]> zones) {
    int all = 0;
    int silent = 0;
    for (int[] z : zones.values()) {
      all += z[0];
      silent += z[1];
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
  private boolean holdsUpTakeover(Machine m, long now, Map<String, int[]> zones) {
    if (!takeover.open().contains(m)
        || m.failedCalls() < 2
        || now - takeover.loadedMicros() < HOLD_UP_MICROS) {
      return false;
    }
    int[] z = zones.get(m.site());
    return z != null && z[2] * 3 <= z[0];
  }

  /** Reports that are far apart make a machine seem silent later. */
  private long silentMicros() {
    return Math.max(
        context.tunables().silentMicros(),
        2 * context.platform().workers().reportMicros()
            + context.platform().workers().reportMicros() / 2);
  }

  private long silentFor(Machine m, long now) {
    // What a thread that runs late has not read yet is no silence.
    return now
        - Math.max(m.lastSeenMicros(), Math.max(takeover.loadedMicros(), punctualSinceMicros));
  }

  private boolean idleTooLong(Machine m, boolean crowded, long now) {
    if (m.running() || round.hasPlan(m) || !takeover.complete()) {
      m.idleSince(-1);
      return false;
    }
    if (m.idleSinceMicros() < 0) {
      m.idleSince(now);
    }
    if (round.closed().contains(m)) {
      return now - m.knownSinceMicros() > LEAST_CHARGE_MICROS;
    }
    // Tasks that wait although the cloud has no more may need the place of a machine that does not
    // suit them.
    long limit =
        context.moneyMatters() || crowded
            ? context.tunables().idleMoneyMicros()
            : context.tunables().idleSpeedMicros();
    return now - m.idleSinceMicros() > limit && now - m.knownSinceMicros() > LEAST_CHARGE_MICROS;
  }

  private void giveBack(Machine m, String why) {
    log.info(
        "returning {} ({} in {}{}): {}",
        m.id(),
        m.flavor(),
        m.site(),
        m.spot() ? ", spot" : "",
        why);
    m.returning(true);
    context.metrics().count("machines_returned");
  }

  private void returnAll(long now) {
    if (returningNow) {
      return;
    }
    List<Machine> out = new ArrayList<>();
    for (Machine m : fleet.machines()) {
      if (m.returning() && out.size() < CloudClient.MOST_PER_RETURN) {
        out.add(m);
      }
    }
    if (out.isEmpty()) {
      return;
    }
    returningNow = true;
    context
        .cloud()
        .giveBack(
            out.stream().map(Machine::id).toList(),
            gone -> {
              returningNow = false;
              if (!gone || closed) {
                return;
              }
              for (Machine m : out) {
                reports.endSessionsBefore(m, Long.MAX_VALUE);
                deleted.add(m.id());
                fleet.remove(m);
                takeover.accounted(m, "it was returned");
                roster.remove(m);
              }
              changed.run();
            });
  }

  /**
   * Keeps no more machines open than the aims need. One at a time, the dearest and emptiest, is
   * closed when all that waits can do without it; the cheapest is opened again before anything is
   * rented.
   */
  private void size(long now) {
    Set<Machine> closed = round.closed();
    closed.removeIf(m -> fleet.machine(m.id()) != m);
    if (!round.demands().isEmpty()) {
      reopen(closed, now);
      sizedMicros = now;
      return;
    }
    if (now - sizedMicros < SIZE_EVERY_MICROS || !takeover.complete()) {
      return;
    }
    sizedMicros = now;
    List<Machine> able = new ArrayList<>();
    for (Machine m : fleet.machines()) {
      if (m.heard()
          && !closed.contains(m)
          && !m.returning()
          && !m.draining()
          && now - m.knownSinceMicros() > LEAST_CHARGE_MICROS) {
        able.add(m);
      }
    }
    able.sort(
        Comparator.comparingDouble(this::price).reversed().thenComparingDouble(Machines::load));
    int step = Math.min(closeStep, able.size());
    if (step == 0) {
      return;
    }
    Set<Machine> fewer = new LinkedHashSet<>(closed);
    fewer.addAll(able.subList(0, step));
    if (round.canDoWithout(fewer)) {
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
    for (RentalPlan.Demand d : round.demands()) {
      cores += d.tasks() * d.job().cores();
    }
    List<Machine> able = new ArrayList<>();
    for (Machine m : closed) {
      if (!m.returning() && !m.draining()) {
        able.add(m);
      }
    }
    able.sort(Comparator.comparingDouble(this::price));
    boolean any = false;
    for (Machine m : able) {
      if (any && cores <= 0) {
        break;
      }
      Flavor f = context.prices().flavor(m.flavor());
      cores -= f == null ? 0 : f.cores() - load(m);
      closed.remove(m);
      any = true;
    }
    if (any) {
      sizeChangedMicros = now;
      changed.run();
    }
    closeStep = 1;
  }

  /** Price for each processor; spot prices move a little, so kinds are compared coarsely. */
  private double price(Machine m) {
    Flavor f = context.prices().flavor(m.flavor());
    return f == null
        ? Double.MAX_VALUE
        : Math.round(context.prices().hourly(f, m.spot()) / f.cores() * 400);
  }

  private static double load(Machine m) {
    double cores = 0;
    for (Attempt a : m.attempts()) {
      if (!a.over()) {
        cores += a.job().spec().cores();
      }
    }
    return cores;
  }

  private void rent(long now) {
    for (Open o : new ArrayList<>(open)) {
      if (!o.inFlight && now >= o.retryMicros) {
        send(o);
      }
    }
    // Demands found before the last machine came or was opened again may be served by it: they are
    // not rented for twice.
    if (!context.prices().known()
        || !(takeover.complete() || takeover.overdue(now))
        || round.finishedMicros() <= sizeChangedMicros) {
      return;
    }
    // Machines that are booting are booked already; these are not known by name yet.
    List<RentalPlan.Coming> coming = new ArrayList<>();
    for (Open o : open) {
      Flavor f = context.prices().flavor(o.kind.flavor());
      for (int i = 0; f != null && i < o.count; i++) {
        coming.add(new RentalPlan.Coming(o.kind, f));
      }
    }
    for (RentalPlan.Rental r :
        plan.plan(
            round.demands(),
            coming,
            k -> now >= shortUntil.getOrDefault(k, 0L) && !cutZones.containsKey(k.site()),
            MOST_PER_ROUND)) {
      if (open.size() >= 6) {
        break;
      }
      Open o =
          new Open(
              "r-" + context.term().number() + "-" + ++rentalCounter,
              r.kind(),
              Math.min(r.count(), CloudClient.MOST_PER_RENTAL));
      open.add(o);
      send(o);
    }
  }

  private void send(Open o) {
    if (!context.term().mayAct()) {
      return;
    }
    o.inFlight = true;
    context
        .cloud()
        .rent(
            o.name,
            o.kind.flavor(),
            o.kind.site(),
            o.kind.spot(),
            o.count,
            (outcome, hosts) -> {
              o.inFlight = false;
              long now = context.loop().nowMicros();
              switch (outcome) {
                case RENTED -> {
                  open.remove(o);
                  if (hosts.size() < o.count) {
                    shortUntil.put(o.kind, now + NO_CAPACITY_PAUSE_MICROS);
                  }
                  log.info(
                      "rented {} of {} {} in {}{}",
                      hosts.size(),
                      o.count,
                      o.kind.flavor(),
                      o.kind.site(),
                      o.kind.spot() ? ", spot" : "");
                  context.metrics().count("machines_rented", hosts.size());
                  sizeChangedMicros = now;
                  changed.run();
                  for (String h : hosts) {
                    if (fleet.machine(h) == null && !deleted.contains(h)) {
                      fleet.add(
                          new Machine(h, null, o.kind.flavor(), o.kind.site(), o.kind.spot(), now));
                    }
                  }
                }
                case NO_CAPACITY -> {
                  open.remove(o);
                  shortUntil.put(o.kind, now + NO_CAPACITY_PAUSE_MICROS);
                }
                case NOT_NOW -> {
                  // Surely not rented; the need is looked at anew after a pause.
                  open.remove(o);
                  shortUntil.put(o.kind, now + REPEAT_MICROS);
                }
                // It may have been rented: the same name is asked for until that is known.
                case UNKNOWN -> o.retryMicros = now + REPEAT_MICROS;
              }
            });
  }

  void close() {
    closed = true;
  }
}
