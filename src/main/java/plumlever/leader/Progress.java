package plumlever.leader;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import plumlever.fleet.Job;
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.store.Txn;
import plumlever.wire.JobState;

/**
 * Writes finished tasks in batches, and the end of a job at once: its user expects to read it within seconds of the
 * last task. Losing stored progress is safe, since a completed task that is started again ends at once.
 */
final class Progress {
    private static final Logger LOG = LoggerFactory.getLogger(Progress.class);
    private static final long RETRY_MICROS = 300_000;

    private final Context context;
    private final Jobs jobs;
    private final Map<Job, BitSet> dirty = new LinkedHashMap<>();
    private final Set<Job> ending = new LinkedHashSet<>();
    private final Set<Job> alone = new LinkedHashSet<>();
    private boolean writing;
    private boolean closed;

    Progress(Context context, Jobs jobs) {
        this.context = context;
        this.jobs = jobs;
    }

    void taskDone(Job job, int task) {
        if (job.complete()) {
            dirty.remove(job);
            if (ending.add(job)) {
                end(job);
            }
        } else {
            dirty.computeIfAbsent(job, j -> new BitSet()).set(context.layout().chunkOf(task));
        }
    }

    private void end(Job job) {
        if (closed || job.over()) {
            ending.remove(job);
            return;
        }
        int chunks = Math.min(context.layout().chunks(job.spec().pieces()), context.platform().stateLimits().txnOps() - 2);
        Txn txn = context.layout().end(job.uid(), job.stamp(), JobState.DONE, chunks);
        context.store().txn(txn, StateClient.Class.URGENT, outcome -> {
            switch (outcome) {
                case APPLIED -> {
                    context.metrics().count("jobs_done");
                    LOG.debug("{} done", job.uid());
                    ended(job);
                }
                case CONFLICT -> settle(job);
                default -> context.loop().after(RETRY_MICROS, () -> end(job));
            }
        });
    }

    /** Somebody else ended it, or an earlier write of this node's own was carried out unheard. */
    private void settle(Job job) {
        context.store().get(JobStore.jobKey(job.uid()), StateClient.Class.URGENT, got -> {
            if (got.found() && JobStore.finalState(got.item().data()) != null) {
                ended(job);
            } else {
                context.loop().after(RETRY_MICROS, () -> end(job));
            }
        });
    }

    private void ended(Job job) {
        ending.remove(job);
        jobs.ended(job.uid());
    }

    /** One turn of the duty: as many jobs as one transaction takes. */
    long write() {
        long pause = context.tunables().progressMicros();
        dirty.keySet().removeIf(Job::over);
        alone.removeIf(Job::over);
        if (writing || dirty.isEmpty()) {
            return pause;
        }
        Txn txn = new Txn();
        Map<Job, BitSet> snapshots = new LinkedHashMap<>();
        Map<Job, BitSet> sent = new LinkedHashMap<>();
        List<Job> order = new ArrayList<>(dirty.keySet());
        int room = context.platform().stateLimits().txnOps();
        long bytes = 0;
        int valueBytes = context.platform().stateLimits().valueBytes();
        for (Job job : order) {
            if (alone.contains(job) && !snapshots.isEmpty()) {
                continue;
            }
            BitSet chunks = dirty.get(job);
            int n = Math.min(chunks.cardinality(), room);
            if (n == 0 || bytes + (long) n * Math.min(valueBytes, job.spec().pieces() / 6 + 100) > 48 * 1024) {
                break;
            }
            BitSet snapshot = new BitSet();
            BitSet written = new BitSet();
            int c = -1;
            txn.guard(JobStore.activeKey(job.uid()), job.stamp());
            for (int i = 0; i < n; i++) {
                c = chunks.nextSetBit(c + 1);
                txn.put(JobStore.progressKey(job.uid(), c), context.layout().chunk(job.done(), c));
                bytes += Math.min(valueBytes, job.spec().pieces() / 6 + 100);
                int chunk = c;
                written.set(c);
                job.done().stream().filter(t -> context.layout().chunkOf(t) == chunk).forEach(snapshot::set);
                room--;
            }
            snapshots.put(job, snapshot);
            sent.put(job, written);
            if (alone.contains(job)) {
                break;
            }
        }
        if (snapshots.isEmpty()) {
            return pause;
        }
        sent.forEach((job, written) -> dirty.get(job).andNot(written));
        dirty.values().removeIf(BitSet::isEmpty);
        boolean more = !dirty.isEmpty();
        writing = true;
        context.store().txn(txn, StateClient.Class.ORDINARY, outcome -> {
            writing = false;
            if (outcome == Txn.Outcome.APPLIED) {
                snapshots.forEach((job, bits) -> {
                    job.stored().or(bits);
                    alone.remove(job);
                });
            } else {
                if (outcome == Txn.Outcome.CONFLICT) {
                    // One of them has ended; each goes by itself until that is heard.
                    alone.addAll(snapshots.keySet());
                }
                sent.forEach((job, chunks) -> dirty.computeIfAbsent(job, j -> new BitSet()).or(chunks));
            }
        });
        return more ? pause / 8 : pause;
    }

    void close() {
        closed = true;
    }
}
