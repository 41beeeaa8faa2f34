package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.BitSet;
import plumlever.wire.InvalidMessage;
import plumlever.wire.JobSpec;
import plumlever.wire.JobState;
import plumlever.wire.Json;

/**
 * The layout of the records in the state service.
 *
 * <ul>
 *   <li>{@code jobs/ID}: the state that users are told, kept for ever; what every poll reads.
 *   <li>{@code active/ID}: the submission, while the job has not ended. It comes and goes in the same transactions
 *       as the state changes, so a new leader reads only what is left to do.
 *   <li>{@code progress/ID/CHUNK}: bitmap of finished tasks.
 *   <li>{@code fleet/HOST}: a machine that may hold tasks. It is written before anything is ordered from the machine,
 *       so a new leader knows every machine that could run something, however far the cloud's list lags.
 *   <li>{@code hints}: what a leader learnt of images and estimates, for its successor.
 *   <li>{@code catalog}: the last machine types read, for a node that starts while the cloud is down.
 * </ul>
 */
public final class JobStore {
    public static final String ACTIVE = "active/";
    public static final String PROGRESS = "progress/";
    public static final String FLEET = "fleet/";
    public static final String CATALOG = "catalog";
    public static final String HINTS = "hints";
    private static final String JOBS = "jobs/";
    private static final String STATE = "s";
    private static final String SPEC = "job";
    private static final String ACCEPTED_MS = "at_ms";
    private static final String BITS = "b";

    private final int valueBytes;
    private final int bitsPerChunk;

    public JobStore(int valueBytes) {
        this.valueBytes = valueBytes;
        // Base64 makes 4 bytes of 3; the rest is room for the JSON round it.
        this.bitsPerChunk = (valueBytes - 64) / 4 * 3 * 8;
    }

    public int valueBytes() {
        return valueBytes;
    }

    public static String jobKey(String uid) {
        return JOBS + uid;
    }

    public static String activeKey(String uid) {
        return ACTIVE + uid;
    }

    public static String fleetKey(String host) {
        return FLEET + host;
    }

    public static String progressKey(String uid, int chunk) {
        return PROGRESS + uid + "/" + chunk;
    }

    /** Null when the record is too long to store. */
    public Txn accept(JobSpec spec, long wallMicros) {
        ObjectNode active = Json.object().put(ACCEPTED_MS, wallMicros / 1_000);
        active.set(SPEC, spec.toJson());
        if (Json.write(active).getBytes(StandardCharsets.UTF_8).length > valueBytes) {
            return null;
        }
        return new Txn().guard(jobKey(spec.uid()), 0).put(jobKey(spec.uid()), state("active"))
                .put(activeKey(spec.uid()), active);
    }

    /** Ends a job: its state is final from here on. */
    public Txn end(String uid, long stamp, JobState how, int chunks) {
        Txn txn = new Txn().guard(jobKey(uid), stamp).put(jobKey(uid), state(how.wireName())).drop(activeKey(uid));
        for (int i = 0; i < chunks; i++) {
            txn.drop(progressKey(uid, i));
        }
        return txn;
    }

    private static ObjectNode state(String s) {
        return Json.object().put(STATE, s);
    }

    /** Null for a job that has not ended. */
    public static JobState finalState(JsonNode jobRecord) {
        String s = jobRecord.path(STATE).asText();
        for (JobState f : JobState.values()) {
            if (f.isFinal() && f.wireName().equals(s)) {
                return f;
            }
        }
        return null;
    }

    public static JobSpec spec(JsonNode activeRecord) throws InvalidMessage {
        if (!(activeRecord.get(SPEC) instanceof ObjectNode o)) {
            throw new InvalidMessage("the record holds no job");
        }
        return JobSpec.parse(o);
    }

    public static long acceptedWallMicros(JsonNode activeRecord) {
        return activeRecord.path(ACCEPTED_MS).asLong() * 1_000;
    }

    public int chunks(int pieces) {
        return (pieces + bitsPerChunk - 1) / bitsPerChunk;
    }

    public int chunkOf(int task) {
        return task / bitsPerChunk;
    }

    public JsonNode chunk(BitSet done, int chunk) {
        int from = chunk * bitsPerChunk;
        byte[] raw = done.get(from, from + bitsPerChunk).toByteArray();
        return Json.object().put(BITS, Base64.getEncoder().encodeToString(raw));
    }

    /** Adds the tasks of a stored chunk to {@code into}. */
    public void readChunk(JsonNode record, int chunk, BitSet into) throws InvalidMessage {
        try {
            BitSet bits = BitSet.valueOf(record.path(BITS).binaryValue());
            int from = chunk * bitsPerChunk;
            bits.stream().forEach(i -> into.set(from + i));
        } catch (IOException | NullPointerException e) {
            throw new InvalidMessage("a progress record can't be read");
        }
    }
}
