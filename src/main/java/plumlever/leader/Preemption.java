package plumlever.leader;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.placement.Ask;
import plumlever.placement.Zones;
import plumlever.wire.Flavor;
import plumlever.wire.TaskStatus;

/**
 * Makes room for a task that would miss its aim, by stopping tasks of less urgent jobs. Only tasks that save their
 * progress are stopped, so little work is lost, and none that began a moment ago.
 */
final class Preemption {
    /** Tells whether a machine takes orders now. */
    interface Usable {
        boolean test(Machine m, long nowMicros);
    }

    /** Tells whether stopping an attempt now would cost its job an aim. */
    interface Harm {
        boolean test(Attempt a, long nowMicros);
    }

    private static final Logger LOG = LoggerFactory.getLogger(Preemption.class);
    /** A task stopped sooner after its start was hardly worth starting. */
    private static final long SETTLED_MICROS = 35_000_000;
    /** A halt goes out with the next answer, and the room is seen with the report after it. */
    private static final long ORDER_MICROS = 3_000_000;
    private static final double EPSILON = 1e-9;

    private final Context context;
    private final Fleet fleet;
    private final Usable usable;
    private final Harm harm;

    Preemption(Context context, Fleet fleet, Usable usable, Harm harm) {
        this.context = context;
        this.fleet = fleet;
        this.usable = usable;
        this.harm = harm;
    }

    /** True if tasks were told to stop so that one task of the job will fit. */
    boolean makeRoom(Job job, Ask ask, long startByMicros, long now) {
        Machine best = null;
        List<Attempt> victims = List.of();
        long bestReady = Long.MAX_VALUE;
        int bestHarm = Integer.MAX_VALUE;
        Zones zones = Round.zones(job);
        for (Machine m : fleet.machines()) {
            Flavor f = context.prices().flavor(m.flavor());
            if (f == null || !usable.test(m, now) || !job.spec().allows(m.flavor(), m.site(), m.spot())
                    || !zones.allows(m.site())) {
                continue;
            }
            List<Attempt> stop = victims(m, f, job, now);
            if (stop.isEmpty()) {
                continue;
            }
            long ready = now + ORDER_MICROS + m.fetchMicros(job.spec().bundle(), job.spec().imageGb(), f, now);
            for (Attempt a : stop) {
                ready = Math.max(ready, now + ORDER_MICROS + (long) (a.job().spec().snapshotS() * 1e6));
            }
            int harmed = 0;
            for (Attempt a : stop) {
                harmed += harm.test(a, now) ? 1 : 0;
            }
            int worse = harmed != bestHarm ? Integer.compare(harmed, bestHarm)
                    : stop.size() != victims.size() ? Integer.compare(stop.size(), victims.size()) : Long.compare(ready, bestReady);
            if (best == null || worse < 0) {
                best = m;
                bestHarm = harmed;
                victims = stop;
                bestReady = ready;
            }
        }
        if (best == null || !helps(ask, startByMicros, bestReady)) {
            return false;
        }
        for (Attempt a : victims) {
            a.halt(a.job().spec().snapshotS() + 2, now);
            context.metrics().count("preempted");
            LOG.debug("{} on {} is stopped to make room for {}", a.name().wireName(), best.id(), job.uid());
        }
        return true;
    }

    private static boolean helps(Ask ask, long startByMicros, long ready) {
        boolean starts = startByMicros != Long.MAX_VALUE && ready <= startByMicros;
        boolean ends = ask.deadlineMicros() != Long.MAX_VALUE && ready + ask.runMicros() <= ask.deadlineMicros();
        return starts || ends;
    }

    /** The fewest tasks on the machine that have to stop; empty if it would not be enough or nothing has to. */
    private List<Attempt> victims(Machine m, Flavor f, Job job, long now) {
        double cores = f.cores();
        double memory = f.memoryGb();
        double accelerators = f.accelerators();
        List<Attempt> candidates = new ArrayList<>();
        for (Attempt a : m.attempts()) {
            if (a.over()) {
                continue;
            }
            if (a.halting()) {
                // Room on its way already, meant for somebody.
                return List.of();
            }
            cores -= a.job().spec().cores();
            memory -= a.job().spec().memoryGb();
            accelerators -= a.job().spec().accelerators();
            if (a.status() == TaskStatus.RUNNING && a.job().spec().checkpoints()
                    && a.job().spec().urgency().compareTo(job.spec().urgency()) > 0
                    && now - a.runningSinceMicros() > SETTLED_MICROS) {
                candidates.add(a);
            }
        }
        candidates.sort(Comparator.<Attempt>comparingInt(a -> harm.test(a, now) ? 1 : 0)
                .thenComparing(Comparator.comparingLong(Attempt::runningSinceMicros).reversed()));
        List<Attempt> stop = new ArrayList<>();
        for (Attempt a : candidates) {
            if (fits(job, cores, memory, accelerators)) {
                break;
            }
            cores += a.job().spec().cores();
            memory += a.job().spec().memoryGb();
            accelerators += a.job().spec().accelerators();
            stop.add(a);
        }
        return fits(job, cores, memory, accelerators) ? stop : List.of();
    }

    private static boolean fits(Job job, double cores, double memory, double accelerators) {
        return cores + EPSILON >= job.spec().cores() && memory + EPSILON >= job.spec().memoryGb()
                && accelerators + EPSILON >= job.spec().accelerators();
    }
}
