package plumlever.leader;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import plumlever.fleet.Attempt;
import plumlever.fleet.Estimates;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.placement.Ask;
import plumlever.placement.Placer;
import plumlever.placement.Seat;
import plumlever.placement.Zones;
import plumlever.scaling.RentalPlan;
import plumlever.settings.Platform;
import plumlever.wire.Flavor;
import plumlever.wire.TaskStatus;

/**
 * The round of decisions: which free tasks go to which machine. A plan binds nobody: it is made anew as things change,
 * and a task is only taken when its machine's answer is written. A round that uses up its time goes on with the next
 * job when it is called again.
 */
final class Round {
    private static final Logger LOG = LoggerFactory.getLogger(Round.class);
    /** A machine this long without a report gets no new tasks: it may be gone. */
    private static final long FRESH_MICROS = 6_000_000;
    /** Tasks of one job looked at in one round beyond those that find room at once. */
    private static final int MOST_BOOKED = 64;
    private static final int MOST_PREEMPTED = 24;

    private static final long MISSED_MICROS = 120_000_000;
    private static final long LONG_WAIT_MICROS = 120_000_000;

    /** The least time until a machine that is not reporting right now takes an order. */
    private static final long NEXT_ANSWER_MICROS = 200_000;

    /** Some tasks of a job that go to a machine with its next answer. */
    static final class Planned {
        final Job job;
        int tasks;

        Planned(Job job) {
            this.job = job;
        }
    }

    private final Context context;
    private final Fleet fleet;
    private final Jobs jobs;
    private final Estimates estimates;
    private final Takeover takeover;
    private final Placer placer;
    private final Preemption preemption;
    private final Targets targets;
    private final Map<String, Map<Job, Planned>> plans = new HashMap<>();
    private final Map<String, double[]> plannedByTeam = new HashMap<>();
    private final Map<Job, Boolean> within = new HashMap<>();
    private List<Job> order = List.of();
    private final Set<Machine> closed = new LinkedHashSet<>();
    private int cursor;
    private long finishedMicros;
    private Machine reporting;
    private List<RentalPlan.Demand> demands = new ArrayList<>();
    private List<RentalPlan.Demand> lastDemands = List.of();

    Round(Context context, Fleet fleet, Jobs jobs, Estimates estimates, Takeover takeover) {
        this.context = context;
        this.fleet = fleet;
        this.jobs = jobs;
        this.estimates = estimates;
        this.takeover = takeover;
        this.placer = new Placer(context.tunables().paddingShare(), context.tunables().tieShare(),
                hedge(context));
        this.preemption = new Preemption(context, fleet, this::usable);
        this.targets = new Targets(context.platform().objectives(), context.tunables().startTargetMicros());
    }

    /** When the demands were found. */
    long finishedMicros() {
        return finishedMicros;
    }

    private static long hedge(Context c) {
        return c.moneyMatters() ? c.tunables().rentMicros() : 0;
    }

    /** Machines that get no new tasks, because the others will do; they go once they are empty. */
    Set<Machine> closed() {
        return closed;
    }

    /** True if all that waits would still be served in time without this machine. Nothing is changed. */
    boolean canDoWithout(Machine m) {
        long now = context.loop().nowMicros();
        List<Seat> seats = seats(now, m, false);
        Map<String, Machine> machines = byId();
        for (Job job : order(now)) {
            Ask ask = ask(job);
            Placer.Search search = search(job, ask, seats, machines, now);
            int want = Math.min(job.freeCount(), takeover.quotaRoom(job));
            for (int i = 0; i < want; i++) {
                Placer.Choice c = search.next();
                if (c.seat() < 0 || (!c.feasible() && rentalHelps(ask, now)) || i > MOST_BOOKED) {
                    return false;
                }
                search.commit(c);
            }
        }
        return true;
    }

    /** What waits for machines, as of the last whole round. */
    List<RentalPlan.Demand> demands() {
        return lastDemands;
    }

    Iterable<Planned> planned(Machine m) {
        return plans.getOrDefault(m.id(), Map.of()).values();
    }

    boolean hasPlan(Machine m) {
        return plans.containsKey(m.id());
    }

    void dropPlan(Machine m) {
        plans.remove(m.id());
    }

    /**
     * Goes through the jobs, most urgent first; true when it came to the end within its time.
     *
     * @param answering the machine whose report is being answered, which takes orders at once; or null
     */
    boolean run(Machine answering) {
        reporting = answering;
        long start = context.loop().nowMicros();
        if (cursor >= order.size()) {
            plans.clear();
            plannedByTeam.clear();
            demands = new ArrayList<>();
            order = order(start);
            cursor = 0;
        }
        if (order.isEmpty()) {
            lastDemands = List.of();
            finishedMicros = start;
            return true;
        }
        List<Seat> seats = seats(start, null, true);
        Map<String, Machine> machines = byId();
        while (cursor < order.size()) {
            place(order.get(cursor++), seats, machines, start);
            if (context.loop().nowMicros() - start > context.tunables().roundBudgetMicros() && cursor < order.size()) {
                context.metrics().count("rounds_cut");
                return false;
            }
        }
        lastDemands = demands;
        finishedMicros = context.loop().nowMicros();
        context.metrics().time("round", context.loop().nowMicros() - start);
        return true;
    }

    /** By when its next task has to run; tasks that ran before have met any aim for a start. */
    private long latestStart(Job j) {
        long finish = targets.finishBy(j);
        long run = (long) (estimates.runMicros(j) * (1 + context.tunables().paddingShare()));
        long byFinish = finish == Long.MAX_VALUE ? Long.MAX_VALUE : finish - run;
        return j.hasFreshFree() ? Math.min(byFinish, targets.startBy(j, within.getOrDefault(j, false))) : byFinish;
    }

    /** What missed its aim a moment ago makes way for what can still meet its own, but not for ever. */
    private static boolean missed(long latestStart, long now) {
        return latestStart < now && now - latestStart < MISSED_MICROS;
    }

    /** Work within a guarantee first, then by urgency, then what can still meet its aim, the most pressing first. */
    private List<Job> order(long now) {
        Map<String, Double> guaranteed = new HashMap<>();
        for (Platform.Team t : context.platform().teams()) {
            guaranteed.put(t.name(), t.cpus());
        }
        List<Job> byAge = new ArrayList<>(jobs.all());
        byAge.sort(Comparator.comparingLong(Job::acceptedMicros));
        within.keySet().retainAll(byAge);
        Map<String, Double> used = new HashMap<>();
        List<Job> waiting = new ArrayList<>();
        for (Job j : byAge) {
            if (j.complete() || j.over()) {
                continue;
            }
            double cores = used.merge(j.spec().owner(), j.spec().pieces() * j.spec().cores(), Double::sum);
            // Decided once, when the job comes: what finishes later does not move a job that came beyond the guarantee.
            if (within.putIfAbsent(j, cores <= guaranteed.getOrDefault(j.spec().owner(), 0.0)) == null && within.get(j)) {
                context.metrics().count("jobs_guaranteed");
            }
            if (j.hasFree() && j.notBeforeMicros() <= now && !takeover.blocks(j)) {
                waiting.add(j);
            }
        }
        Map<Job, Long> latest = new HashMap<>();
        waiting.forEach(j -> latest.put(j, latestStart(j)));
        waiting.sort(Comparator.<Job>comparingInt(j -> within.get(j) ? 0 : 1)
                .thenComparing(j -> j.spec().urgency())
                .thenComparingInt(j -> missed(latest.get(j), now) ? 1 : 0)
                .thenComparingLong(latest::get)
                .thenComparingLong(Job::acceptedMicros));
        return waiting;
    }

    private boolean usable(Machine m, long now) {
        // A new leader has the machines' answers to its direct calls before their own reports: without those machines
        // everything would seem to lack room, and be rented for.
        long sign = m.heard() ? m.lastReportMicros() : takeover.startedMicros();
        return m.enrolment() == Machine.Enrolment.STORED && m.accounted() && !m.draining() && !m.returning()
                && now - sign < FRESH_MICROS;
    }

    private Map<String, Machine> byId() {
        Map<String, Machine> machines = new HashMap<>();
        fleet.machines().forEach(m -> machines.put(m.id(), m));
        return machines;
    }

    /** Rented and not up yet, or up and not yet on record. */
    private static boolean coming(Machine m) {
        return !m.returning() && !m.failed() && !m.draining() && (!m.heard() || m.enrolment() != Machine.Enrolment.STORED)
                && m.accounted() == m.heard();
    }

    private List<Seat> seats(long now, Machine without, boolean withPlans) {
        List<Seat> seats = new ArrayList<>();
        for (Machine m : fleet.machines()) {
            Flavor f = context.prices().flavor(m.flavor());
            if (f == null || m == without || closed.contains(m)) {
                continue;
            }
            if (coming(m)) {
                long up = Math.max(now + 1_000_000, m.knownSinceMicros() + (long) (f.startupS() * 1.2e6));
                Seat s = new Seat(m.id(), m.flavor(), m.site(), m.spot(), f.cores(), f.accelerators(), f.memoryGb(),
                        context.prices().hourly(f, m.spot()) / 3600, 1, 0);
                s.comesUp(up);
                seats.add(s);
                continue;
            }
            if (!usable(m, now)) {
                continue;
            }
            Seat s = new Seat(m.id(), m.flavor(), m.site(), m.spot(), f.cores(), f.accelerators(), f.memoryGb(),
                    context.prices().hourly(f, m.spot()) / 3600, m.slowness(), untilNextReport(m, now));
            for (Attempt a : m.attempts()) {
                if (!a.over()) {
                    s.occupy(ask(a.job()), endsAt(a, f, now));
                }
            }
            for (Planned p : withPlans ? planned(m) : List.<Planned>of()) {
                Ask ask = ask(p.job);
                for (int i = 0; i < p.tasks; i++) {
                    s.occupy(ask, now + ask.runMicros());
                }
            }
            seats.add(s);
        }
        return seats;
    }

    private long untilNextReport(Machine m, long now) {
        if (m == reporting) {
            return 0;
        }
        long last = m.heard() ? m.lastReportMicros() : now;
        return Math.max(NEXT_ANSWER_MICROS, last + context.platform().workers().reportMicros() - now);
    }

    private long endsAt(Attempt a, Flavor f, long now) {
        if (a.halting()) {
            return now + (long) (a.job().spec().snapshotS() * 1e6);
        }
        long run = (long) (estimates.runMicros(a.job()) * a.machine().slowness() * (1 + context.tunables().paddingShare()));
        if (a.status() == TaskStatus.RUNNING && a.runningSinceMicros() >= 0) {
            long end = a.runningSinceMicros() + run;
            // A task past its estimate may take any time; the longer it has run, the longer it is expected to.
            return end > now ? end : now + (now - a.runningSinceMicros()) / 5 + 1_000_000;
        }
        long fetch = f.fetchGbPerS() > 0 ? (long) (a.job().spec().imageGb() / f.fetchGbPerS() * 1e6) : 0;
        return Math.max(now, a.sentMicros() + fetch) + run;
    }

    private Ask ask(Job j) {
        return new Ask(j.spec().cores(), j.spec().accelerators(), j.spec().memoryGb(), j.spec().bundle(), j.spec().imageGb(),
                estimates.runMicros(j), targets.finishBy(j), targets.startBy(j, within.getOrDefault(j, false)), j.spec().flavors(), j.spec().site(), j.spec().loaners());
    }

    /** The job's rules about zones, all its tasks counted that may still be on a machine. */
    static Zones zones(Job j) {
        Zones z = new Zones(j.spec().oneZone(), j.spec().zoneLimit());
        for (Attempt a : j.live()) {
            z.add(a.machine().site());
        }
        return z;
    }

    private Placer.Search search(Job job, Ask ask, List<Seat> seats, Map<String, Machine> machines, long now) {
        return placer.search(ask, seats, zones(job), (machine, image, gb) -> {
            Machine m = machines.get(machine);
            return m.fetchMicros(image, gb, context.prices().flavor(m.flavor()), now);
        }, now);
    }

    private void place(Job job, List<Seat> seats, Map<String, Machine> machines, long now) {
        if (job.over() || !job.hasFree()) {
            return;
        }
        Ask ask = ask(job);
        Placer.Search search = search(job, ask, seats, machines, now);
        int want = Math.min(job.freeCount(), quotaRoom(job));
        int waiting = 0;
        int booked = 0;
        int preempted = 0;
        for (int i = 0; i < want; i++) {
            Placer.Choice c = search.next();
            if ((c.seat() < 0 || !c.feasible()) && c.startMicros() > now && preempted < MOST_PREEMPTED
                    && preemption.makeRoom(job, ask, targets.startBy(job, within.getOrDefault(job, false)), now)) {
                preempted++;
                continue;
            }
            if (c.seat() < 0) {
                // Nowhere at all. With time to spare one machine is a start: the rest is booked on it, or found short, then.
                boolean spare = context.moneyMatters() && ask.startByMicros() != Long.MAX_VALUE
                        && ask.startByMicros() - now > 2 * context.tunables().rentMicros();
                waiting += spare ? 1 : want - i;
                break;
            }
            search.commit(c);
            if (c.startMicros() <= now) {
                plans.computeIfAbsent(seats.get(c.seat()).machine(), k -> new LinkedHashMap<>())
                        .computeIfAbsent(job, Planned::new).tasks++;
                double[] t = plannedByTeam.computeIfAbsent(job.spec().owner(), k -> new double[2]);
                t[0] += job.spec().cores();
                t[1] += job.spec().accelerators();
            } else {
                if (needsRental(c, ask, now)) {
                    waiting++;
                }
                if (++booked >= MOST_BOOKED) {
                    waiting += needsRental(c, ask, now) ? want - i - 1 : 0;
                    break;
                }
            }
        }
        if (waiting > 0) {
            demands.add(new RentalPlan.Demand(job.spec(), job.boundZone(), waiting, ask.runMicros()));
        }
        if (LOG.isDebugEnabled() && waiting > 0) {
            LOG.debug("{}: {} of {} free tasks wait for machines, {} booked", job.uid(), waiting, job.freeCount(), booked);
        }
    }

    private boolean needsRental(Placer.Choice c, Ask ask, long now) {
        if (!context.moneyMatters()) {
            return c.startMicros() - now > context.tunables().rentMicros();
        }
        return !c.feasible() && (rentalHelps(ask, now) || c.startMicros() - now > LONG_WAIT_MICROS);
    }

    /** True if a machine rented now could still serve the task in time. */
    private boolean rentalHelps(Ask ask, long now) {
        long up = now + context.tunables().rentMicros();
        return up <= ask.startByMicros()
                && (ask.deadlineMicros() == Long.MAX_VALUE || up + ask.runMicros() <= ask.deadlineMicros());
    }

    /** How many more tasks the job's team may run, counting whatever may still be running anywhere. */
    int quotaRoom(Job job) {
        int room = takeover.quotaRoom(job);
        double[] planned = plannedByTeam.get(job.spec().owner());
        if (planned != null && room != Integer.MAX_VALUE) {
            if (job.spec().cores() > 0) {
                room -= (int) Math.ceil(planned[0] / job.spec().cores() - 1e-9);
            } else if (job.spec().accelerators() > 0) {
                room -= (int) Math.ceil(planned[1] / job.spec().accelerators() - 1e-9);
            }
        }
        return Math.max(0, room);
    }
}
