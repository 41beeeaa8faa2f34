package plumlever.leader;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.election.RenewalLimit;
import plumlever.fleet.Job;
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.wire.InvalidMessage;

/** The jobs that have not ended, kept up with the state service by following it. */
final class Jobs {
    private static final long RETRY_MICROS = 500_000;

    private final Logger log;
    private final Context context;
    private final Begun begun;
    private final Runnable changed;
    private final Map<String, Job> active = new LinkedHashMap<>();
    /** Which stored pack each job's progress was found in. */
    private final Map<Job, Integer> packs = new HashMap<>();
    private final RenewalLimit limit;
    private long epoch;
    /** When the last read that tells which jobs have ended had been sent. */
    private long knownMicros = Long.MIN_VALUE / 2;
    private boolean closed;

    Jobs(Context context, Begun begun, Runnable changed) {
        this.context = context;
        this.log = context.logs().of(Jobs.class);
        this.begun = begun;
        this.changed = changed;
        this.limit = new RenewalLimit(context.platform().workers());
    }

    Collection<Job> all() {
        return active.values();
    }

    Map<Job, Integer> packs() {
        return packs;
    }

    Job get(String uid) {
        return active.get(uid);
    }

    /**
     * True while a lease may be renewed on a machine with tasks, and a task ordered on one: later, a cancellation that this
     * leader has not heard of might come to its end of time before the lease does.
     */
    boolean mayRenew() {
        return limit.mayRenew(context.loop().nowMicros(), knownMicros);
    }

    /** Takes in all jobs and which of them earlier leaders may have begun, and goes on following. */
    void load(Records found) {
        knownMicros = found.askedMicros();
        StateClient.Listing jobs = found.under(JobStore.ACTIVE);
        begun.read(found.under(JobStore.BEGUN).items());
        jobs.items().forEach(i -> put(i.key(), i.data(), i.stamp(), true));
        found.under(JobStore.PROGRESS).items().forEach(this::readProgress);
        begun.loaded(this);
        epoch = jobs.epoch();
        follow();
    }

    private void readProgress(StateClient.Item i) {
        int pack = JobStore.packOf(i.key());
        if (pack >= 0) {
            JobStore.readPack(i.data()).forEach((uid, done) -> {
                Job job = active.get(uid);
                if (job != null) {
                    job.stored().or(done);
                    job.stored().stream().forEach(job::markDone);
                    packs.put(job, pack);
                }
            });
            return;
        }
        String rest = i.key().substring(JobStore.PROGRESS.length());
        int slash = rest.lastIndexOf('/');
        Job job = slash < 0 ? null : active.get(rest.substring(0, slash));
        if (job == null) {
            // Left by a job that ended with more chunks than one transaction drops, or written late.
            context.metrics().count("progress_strays");
            return;
        }
        try {
            context.layout().readChunk(i.data(), Integer.parseInt(rest.substring(slash + 1)), job.stored());
            job.stored().stream().forEach(job::markDone);
        } catch (InvalidMessage | NumberFormatException e) {
            log.warn("{} can't be read and is taken as no progress", i.key());
        }
    }

    /** @param known the job was there when the term began */
    private void put(String key, JsonNode data, long stamp, boolean known) {
        String uid = key.substring(JobStore.ACTIVE.length());
        if (active.containsKey(uid)) {
            return;
        }
        try {
            long age = context.loop().wallMicros() - JobStore.acceptedWallMicros(data);
            Job job = new Job(JobStore.spec(data), stamp, context.loop().nowMicros() - Math.max(0, age),
                    known && begun.mayHaveBegun(uid));
            active.put(uid, job);
            log.debug("{} taken in: {} tasks of class {}, accepted {} ms ago", uid, job.spec().pieces(), job.spec().jobclass(),
                    age / 1_000);
        } catch (InvalidMessage e) {
            log.error("{} can't be read: {}", key, e.getMessage());
        }
    }

    private void drop(String uid) {
        Job job = active.remove(uid);
        if (job != null) {
            job.end();
            begun.remove(job);
            log.debug("{} has ended", uid);
        }
    }

    /** The job is known to have ended, before the followed changes say so. */
    void ended(String uid) {
        drop(uid);
        changed.run();
    }

    private void follow() {
        if (closed) {
            return;
        }
        long sent = context.loop().nowMicros();
        context.store().follow(JobStore.ACTIVE, epoch, limit.watchMicros(), changes -> {
            if (closed) {
                return;
            }
            if (changes.status() == 410) {
                relist();
                return;
            }
            if (changes.status() != 200) {
                context.loop().after(RETRY_MICROS, this::follow);
                return;
            }
            epoch = Math.max(epoch, changes.epoch());
            knownMicros = sent;
            for (StateClient.Change c : changes.log()) {
                if (c.data() == null) {
                    drop(c.key().substring(JobStore.ACTIVE.length()));
                } else {
                    put(c.key(), c.data(), c.stamp(), false);
                }
            }
            if (!changes.log().isEmpty()) {
                changed.run();
            }
            follow();
        });
    }

    /** Changes were missed: what is not listed any more has ended. */
    private void relist() {
        long sent = context.loop().nowMicros();
        context.store().list(JobStore.ACTIVE, StateClient.Class.URGENT, listing -> {
            if (closed) {
                return;
            }
            if (listing == null) {
                context.loop().after(RETRY_MICROS, this::relist);
                return;
            }
            Set<String> listed = new HashSet<>();
            listing.items().forEach(i -> {
                listed.add(i.key().substring(JobStore.ACTIVE.length()));
                put(i.key(), i.data(), i.stamp(), false);
            });
            List<String> gone = new ArrayList<>(active.keySet());
            gone.removeAll(listed);
            gone.forEach(this::drop);
            epoch = listing.epoch();
            knownMicros = sent;
            changed.run();
            follow();
        });
    }

    void close() {
        closed = true;
    }
}
