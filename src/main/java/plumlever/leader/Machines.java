package plumlever.leader;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import plumlever.cloud.CloudClient;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.scaling.RentalPlan;
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.store.Txn;
import plumlever.wire.Flavor;
import plumlever.wire.HostEntry;
import plumlever.wire.Json;

/** Rents and returns machines, keeps the record of those that may hold tasks, and finds the ones that are gone. */
final class Machines {
    private static final Logger LOG = LoggerFactory.getLogger(Machines.class);
    private static final long LIST_EVERY_MICROS = 5_000_000;
    private static final long CATALOG_EVERY_MICROS = 30_000_000;
    private static final long NO_CAPACITY_PAUSE_MICROS = 12_000_000;
    private static final long REPEAT_MICROS = 2_000_000;
    /** Added to a lease before it surely has lapsed: both clocks' drift, an answer on its way, a late timer. */
    private static final long LAPSE_MARGIN_MICROS = 1_500_000;
    private static final double DRIFT = 0.002;
    private static final int MOST_PER_ROUND = 30;
    /** The cloud charges at least this for a machine. */
    private static final long LEAST_CHARGE_MICROS = 58_000_000;
    private static final long SIZE_EVERY_MICROS = 3_000_000;
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

    private final Context context;
    private final Fleet fleet;
    private final Round round;
    private final Reports reports;
    private final Takeover takeover;
    private final RentalPlan plan;
    private final Runnable changed;
    private final Map<RentalPlan.Kind, Long> shortUntil = new HashMap<>();
    private final List<Open> open = new ArrayList<>();
    private final Set<String> deleted = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > REMEMBERED;
        }
    });
    /** Zones whose machines seem to be behind a cut: nothing is returned or rented there. */
    private final Map<String, Long> cutZones = new HashMap<>();
    private final Set<String> toForget = new HashSet<>();
    private long rentalCounter;
    private long listedMicros;
    private long catalogMicros;
    private long sizedMicros;
    private long sizeChangedMicros = -1;
    private boolean listing;
    private boolean enrolling;
    private boolean returningNow;
    private boolean cataloguing;
    private boolean closed;

    Machines(Context context, Fleet fleet, Round round, Reports reports, Takeover takeover, Runnable changed) {
        this.context = context;
        this.fleet = fleet;
        this.round = round;
        this.reports = reports;
        this.takeover = takeover;
        this.changed = changed;
        this.plan = new RentalPlan(context.prices(), context.moneyMatters());
    }

    boolean isDeleted(String host) {
        return deleted.contains(host);
    }

    /** One turn of the duty. */
    long turn() {
        if (closed || !context.office().mayAct()) {
            return 200_000;
        }
        long now = context.loop().nowMicros();
        if (!listing && now - listedMicros >= LIST_EVERY_MICROS) {
            list();
        }
        if (!cataloguing && now - catalogMicros >= CATALOG_EVERY_MICROS) {
            catalog();
        }
        enroll();
        watch(now);
        returnAll(now);
        if (context.moneyMatters()) {
            size(now);
        }
        rent(now);
        return 500_000;
    }

    private void catalog() {
        cataloguing = true;
        context.cloud().catalog(flavors -> {
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
        context.cloud().list(hosts -> {
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
                    m = new Machine(h.uid(), h.endpoint(), h.flavor(), h.site(), h.loaners(),
                            now - (long) (h.ageS() * 1e6));
                    fleet.add(m);
                }
                m.learnEndpoint(h.endpoint());
                m.listed(now, h.status().equals("failed"));
            }
        });
    }

    /** Records machines that reported before anything is ordered from them. */
    private void enroll() {
        if (enrolling) {
            return;
        }
        List<Machine> add = new ArrayList<>();
        Txn txn = new Txn();
        int room = context.platform().stateLimits().txnOps();
        for (Machine m : fleet.machines()) {
            if (room > 0 && m.enrolment() == Machine.Enrolment.NONE && m.heard() && !m.returning()) {
                txn.put(JobStore.fleetKey(m.id()), Json.object().put("endpoint", m.endpoint()).put("flavor", m.flavor())
                        .put("site", m.site()).put("loaners", m.spot()));
                add.add(m);
                room--;
            }
        }
        List<String> drop = new ArrayList<>();
        for (String host : toForget) {
            if (room > 0) {
                txn.drop(JobStore.fleetKey(host));
                drop.add(host);
                room--;
            }
        }
        if (txn.changes() == 0) {
            return;
        }
        enrolling = true;
        add.forEach(m -> m.enrolment(Machine.Enrolment.WRITING));
        context.store().txn(txn, StateClient.Class.ORDINARY, outcome -> {
            enrolling = false;
            boolean stored = outcome == Txn.Outcome.APPLIED;
            add.forEach(m -> m.enrolment(stored ? Machine.Enrolment.STORED : Machine.Enrolment.NONE));
            if (stored) {
                drop.forEach(toForget::remove);
                if (!add.isEmpty()) {
                    changed.run();
                    enroll();
                }
            }
        });
    }

    /** A machine reported for the first time: it is recorded without waiting for the next turn. */
    void reported() {
        enroll();
    }

    private long lapsesAt(Machine m) {
        // An answer of this term renewed the lease at the latest; before the first, an earlier leader may have.
        long renewed = Math.max(takeover.loadedMicros(), m.lastAnswerMicros());
        return renewed + (long) (context.platform().workers().leaseMicros() * (1 + DRIFT)) + LAPSE_MARGIN_MICROS;
    }

    private void watch(long now) {
        Map<String, int[]> zones = new HashMap<>();
        for (Machine m : fleet.machines()) {
            if (m.heard() || takeover.open().contains(m)) {
                int[] z = zones.computeIfAbsent(m.site(), k -> new int[2]);
                z[0]++;
                // Half the time already: machines behind a cut fall silent one after the other, and by the time the
                // first is called silent all the others must have missed a report as well.
                if (silentFor(m, now) > context.tunables().silentMicros() / 2) {
                    z[1]++;
                }
            }
        }
        // When a cut ends, its machines find their way back one by one, so it is kept in mind for as long again.
        cutZones.values().removeIf(until -> until < now);
        zones.forEach((zone, z) -> {
            if (z[1] >= 2 && z[1] * 2 >= z[0]) {
                if (cutZones.put(zone, now + context.tunables().silentMicros()) == null) {
                    LOG.warn("{} of {} machines in {} are silent, as behind a cut", z[1], z[0], zone);
                }
            }
        });
        for (Machine m : new ArrayList<>(fleet.machines())) {
            if (now >= lapsesAt(m) && silentFor(m, now) > context.tunables().silentMicros()) {
                boolean lost = m.running();
                reports.endSessionsBefore(m, Long.MAX_VALUE);
                if (lost) {
                    LOG.info("{} is silent and its lease has lapsed", m.id());
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
                long patience = (long) ((f == null ? 60 : Math.max(f.startupS(), 15)) * 1e6 * context.tunables().bootFactor());
                if (now - Math.max(m.knownSinceMicros(), takeover.startedMicros() - patience / 2) > patience) {
                    giveBack(m, "it does not come up");
                }
            } else if (holdsUpTakeover(m, now)) {
                giveBack(m, "it holds up the takeover");
            } else if (silentFor(m, now) > context.tunables().silentMicros()) {
                // Many silent at once in a zone look like a cut, behind which they go on working.
                if (!cutZones.containsKey(m.site()) || silentFor(m, now) > 2 * context.platform().workers().leaseMicros()) {
                    giveBack(m, "it is silent");
                }
            } else if (m.draining() && !m.running()) {
                giveBack(m, "it is drained");
            } else if (idleTooLong(m, now)) {
                giveBack(m, "it is idle");
            }
        }
    }

    /**
     * True for one of few machines that neither answer nor report to a new leader while the rest of their zone does.
     * Mostly they were taken just before; every inherited task waits for them, so they are given up sooner.
     */
    private boolean holdsUpTakeover(Machine m, long now) {
        if (!takeover.open().contains(m) || now - takeover.loadedMicros() < context.tunables().silentMicros() / 3) {
            return false;
        }
        int zone = 0;
        int open = 0;
        for (Machine o : fleet.machines()) {
            if (o.site().equals(m.site()) && o.enrolment() == Machine.Enrolment.STORED) {
                zone++;
                if (takeover.open().contains(o)) {
                    open++;
                }
            }
        }
        return open * 3 <= zone;
    }

    private long silentFor(Machine m, long now) {
        return now - Math.max(m.lastReportMicros(), takeover.startedMicros());
    }

    private boolean idleTooLong(Machine m, long now) {
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
        // Tasks that wait although the cloud has no more may need the place of a machine that does not suit them.
        boolean crowded = !round.demands().isEmpty() && shortUntil.values().stream().anyMatch(t -> t > now);
        long limit = context.moneyMatters() || crowded
                ? context.tunables().idleMoneyMicros() : context.tunables().idleSpeedMicros();
        return now - m.idleSinceMicros() > limit && now - m.knownSinceMicros() > LEAST_CHARGE_MICROS;
    }

    private void giveBack(Machine m, String why) {
        LOG.info("returning {} ({} in {}{}): {}", m.id(), m.flavor(), m.site(), m.spot() ? ", spot" : "", why);
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
        context.cloud().giveBack(out.stream().map(Machine::id).toList(), gone -> {
            returningNow = false;
            if (!gone || closed) {
                return;
            }
            for (Machine m : out) {
                reports.endSessionsBefore(m, Long.MAX_VALUE);
                deleted.add(m.id());
                fleet.remove(m);
                takeover.accounted(m, "it was returned");
                if (m.enrolment() != Machine.Enrolment.NONE) {
                    toForget.add(m.id());
                }
            }
            changed.run();
        });
    }

    /**
     * Keeps no more machines open than the aims need. One at a time, the dearest and emptiest, is closed when all that
     * waits can do without it; the cheapest is opened again before anything is rented.
     */
    private void size(long now) {
        Set<Machine> closed = round.closed();
        closed.removeIf(m -> fleet.machine(m.id()) != m);
        if (!round.demands().isEmpty()) {
            Machine best = null;
            for (Machine m : closed) {
                if (!m.returning() && !m.draining() && (best == null || price(m) < price(best))) {
                    best = m;
                }
            }
            if (best != null) {
                closed.remove(best);
                sizeChangedMicros = now;
                changed.run();
            }
            sizedMicros = now;
            return;
        }
        if (now - sizedMicros < SIZE_EVERY_MICROS || !takeover.complete()) {
            return;
        }
        sizedMicros = now;
        Machine worst = null;
        for (Machine m : fleet.machines()) {
            if (m.heard() && !closed.contains(m) && !m.returning() && !m.draining()
                    && now - m.knownSinceMicros() > LEAST_CHARGE_MICROS
                    && (worst == null || price(m) > price(worst) || (price(m) == price(worst) && load(m) < load(worst)))) {
                worst = m;
            }
        }
        if (worst != null && round.canDoWithout(worst)) {
            closed.add(worst);
            context.metrics().count("machines_closed");
            LOG.debug("{} gets no new tasks, the others will do", worst.id());
        }
    }

    /** Price for each processor; spot prices move a little, so kinds are compared coarsely. */
    private double price(Machine m) {
        Flavor f = context.prices().flavor(m.flavor());
        return f == null ? Double.MAX_VALUE : Math.round(context.prices().hourly(f, m.spot()) / f.cores() * 400);
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
        // Demands found before the last machine came or was opened again may be served by it: they are not rented for twice.
        if (!context.prices().known() || !takeover.complete() || round.finishedMicros() <= sizeChangedMicros) {
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
        for (RentalPlan.Rental r : plan.plan(round.demands(), coming,
                k -> now >= shortUntil.getOrDefault(k, 0L) && !cutZones.containsKey(k.site()), MOST_PER_ROUND)) {
            if (open.size() >= 6) {
                break;
            }
            Open o = new Open("r-" + context.office().term() + "-" + ++rentalCounter, r.kind(),
                    Math.min(r.count(), CloudClient.MOST_PER_RENTAL));
            open.add(o);
            send(o);
        }
    }

    private void send(Open o) {
        if (!context.office().mayAct()) {
            return;
        }
        o.inFlight = true;
        context.cloud().rent(o.name, o.kind.flavor(), o.kind.site(), o.kind.spot(), o.count, (outcome, hosts) -> {
            o.inFlight = false;
            long now = context.loop().nowMicros();
            switch (outcome) {
                case RENTED -> {
                    open.remove(o);
                    if (hosts.size() < o.count) {
                        shortUntil.put(o.kind, now + NO_CAPACITY_PAUSE_MICROS);
                    }
                    LOG.info("rented {} of {} {} in {}{}", hosts.size(), o.count, o.kind.flavor(), o.kind.site(),
                            o.kind.spot() ? ", spot" : "");
                    context.metrics().count("machines_rented", hosts.size());
                    sizeChangedMicros = now;
                    changed.run();
                    for (String h : hosts) {
                        if (fleet.machine(h) == null && !deleted.contains(h)) {
                            fleet.add(new Machine(h, null, o.kind.flavor(), o.kind.site(), o.kind.spot(), now));
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
