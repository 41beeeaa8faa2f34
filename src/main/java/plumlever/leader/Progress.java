package plumlever.leader;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.fleet.Job;
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.store.Txn;
import plumlever.wire.JobState;

/**
 * Writes finished tasks in batches, and the end of a job at once: its user expects to read it within seconds of the
 * last task. Small jobs share records, since changes are what the state service has least of. Losing stored progress is
 * safe: a completed task that is started again ends at once.
 */
final class Progress {
    private static final long RETRY_MICROS = 300_000;
    private static final long MOST_BYTES = 48 * 1024;

    /** A record that small jobs share. */
    private static final class Pack {
        final int number;
        final Set<Job> jobs = new LinkedHashSet<>();
        int bytes;
        boolean dirty;

        Pack(int number) {
            this.number = number;
        }
    }

    private final Logger log;
    private final Context context;
    private final Jobs jobs;
    private final Map<Integer, Pack> packs = new LinkedHashMap<>();
    private final Map<Job, Pack> packOf = new HashMap<>();
    /** Chunks of large jobs that have not been written since a task of theirs finished. */
    private final Map<Job, BitSet> dirty = new LinkedHashMap<>();
    private final Set<Job> ending = new LinkedHashSet<>();
    private boolean writing;
    private boolean closed;

    Progress(Context context, Jobs jobs) {
        this.context = context;
        this.log = context.logs().of(Progress.class);
        this.jobs = jobs;
    }

    /** The packs as earlier leaders left them: a record is only written whole, with all its jobs. */
    void loaded() {
        jobs.packs().forEach((job, number) -> enter(packs.computeIfAbsent(number, Pack::new), job));
    }

    private void enter(Pack p, Job job) {
        p.jobs.add(job);
        p.bytes += context.layout().packedBytes(job.spec());
        packOf.put(job, p);
    }

    void taskDone(Job job, int task) {
        if (job.complete()) {
            dirty.remove(job);
            if (ending.add(job)) {
                end(job);
            }
            return;
        }
        int bytes = context.layout().packedBytes(job.spec());
        if (bytes < 0) {
            dirty.computeIfAbsent(job, j -> new BitSet()).set(context.layout().chunkOf(task));
            return;
        }
        Pack p = packOf.get(job);
        if (p == null) {
            p = packWithRoom(bytes);
            enter(p, job);
        }
        p.dirty = true;
    }

    private Pack packWithRoom(int bytes) {
        for (Pack p : packs.values()) {
            if (p.bytes + bytes <= context.layout().packBytes()) {
                return p;
            }
        }
        int number = 0;
        while (packs.containsKey(number)) {
            number++;
        }
        Pack p = new Pack(number);
        packs.put(number, p);
        return p;
    }

    private void end(Job job) {
        if (closed || job.over()) {
            ending.remove(job);
            return;
        }
        int chunks = context.layout().packedBytes(job.spec()) >= 0 ? 0
                : Math.min(context.layout().chunks(job.spec().pieces()), context.platform().stateLimits().txnOps() - 2);
        Txn txn = context.layout().end(job.uid(), job.stamp(), JobState.DONE, chunks);
        context.store().txn(txn, StateClient.Class.URGENT, result -> {
            switch (result.outcome()) {
                case APPLIED -> {
                    context.metrics().count("jobs_done");
                    log.debug("{} done", job.uid());
                    ended(job);
                }
                case CONFLICT -> settle(job);
                default -> context.loop().after(RETRY_MICROS, () -> end(job));
            }
        });
    }

    /** Somebody else ended it, or an earlier write of this node's own was carried out unheard. */
    private void settle(Job job) {
        context.store().get(JobStore.endedKey(job.uid()), StateClient.Class.URGENT, got -> {
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

    /** One turn of the duty: as much as one transaction takes, the oldest first. */
    long write() {
        long pause = context.tunables().progressMicros();
        forgetEnded();
        if (writing || closed) {
            return pause;
        }
        // Nothing but the term guards it: progress of a job that has ended meanwhile is a stray that the next write drops.
        Txn txn = context.term().guard();
        Map<Job, BitSet> snapshots = new LinkedHashMap<>();
        List<Pack> sentPacks = new ArrayList<>();
        Map<Job, BitSet> sentChunks = new LinkedHashMap<>();
        int room = context.platform().stateLimits().txnOps();
        long bytes = 0;
        for (Pack p : packs.values()) {
            if (!p.dirty || room == 0 || bytes + p.bytes > MOST_BYTES) {
                continue;
            }
            room--;
            bytes += p.bytes;
            p.dirty = false;
            sentPacks.add(p);
            Map<String, BitSet> done = new LinkedHashMap<>();
            for (Job j : p.jobs) {
                done.put(j.uid(), j.done());
                snapshots.put(j, (BitSet) j.done().clone());
            }
            txn.put(JobStore.packKey(p.number), context.layout().pack(done));
        }
        for (Map.Entry<Job, BitSet> e : dirty.entrySet()) {
            Job job = e.getKey();
            int each = Math.min(context.layout().valueBytes(), job.spec().pieces() / 6 + 100);
            BitSet written = new BitSet();
            for (int c = e.getValue().nextSetBit(0); c >= 0 && room > 0 && bytes + each <= MOST_BYTES;
                    c = e.getValue().nextSetBit(c + 1)) {
                room--;
                bytes += each;
                written.set(c);
                txn.put(JobStore.progressKey(job.uid(), c), context.layout().chunk(job.done(), c));
                int chunk = c;
                BitSet snapshot = snapshots.computeIfAbsent(job, j -> new BitSet());
                job.done().stream().filter(t -> context.layout().chunkOf(t) == chunk).forEach(snapshot::set);
            }
            if (!written.isEmpty()) {
                sentChunks.put(job, written);
            }
        }
        if (txn.changes() == 0) {
            return pause;
        }
        sentChunks.forEach((job, written) -> dirty.get(job).andNot(written));
        dirty.values().removeIf(BitSet::isEmpty);
        writing = true;
        context.store().txn(txn, StateClient.Class.ORDINARY, result -> {
            writing = false;
            if (result.applied()) {
                snapshots.forEach((job, bits) -> job.stored().or(bits));
            } else {
                sentPacks.forEach(p -> p.dirty = true);
                sentChunks.forEach((job, chunks) -> dirty.computeIfAbsent(job, j -> new BitSet()).or(chunks));
            }
        });
        boolean more = !dirty.isEmpty() || packs.values().stream().anyMatch(p -> p.dirty);
        return more ? pause / 8 : pause;
    }

    private void forgetEnded() {
        dirty.keySet().removeIf(Job::over);
        for (Pack p : packs.values()) {
            p.jobs.removeIf(j -> {
                if (j.over()) {
                    p.bytes -= context.layout().packedBytes(j.spec());
                    packOf.remove(j);
                }
                return j.over();
            });
        }
    }

    void close() {
        closed = true;
    }
}
