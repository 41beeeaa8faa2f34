package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;
import plumlever.wire.InvalidMessage;
import plumlever.wire.JobSpec;
import plumlever.wire.JobState;
import plumlever.wire.Json;

/**
 * The layout of the records in the state service.
 *
 * <ul>
 *   <li>{@code active/ID}: the submission, while the job has not ended. Accepting a job is this one change.
 *   <li>{@code ended/ID}: how it ended, kept for ever; written in the transaction that drops the one above. So a new
 *       leader reads only what is left to do, and a poll of a job reads one key, or two after its end.
 *   <li>{@code progress/ID/CHUNK}: bitmap of finished tasks of a large job; {@code progress/pack/N}: those of many
 *       small ones, since changes are what the state service has least of.
 *   <li>{@code fleet/N}: machines that may hold tasks, as many as fit one value. A machine is in one of them before
 *       anything is ordered from it, so a new leader knows every machine that could run something, however far the
 *       cloud's list lags.
 *   <li>{@code begun/N}: jobs that a leader may have ordered something of, as many as fit one value. A job is in one of
 *       them before its first order, so what a new leader does not find there is on no machine.
 *   <li>{@code hints/N}: what a leader learnt of images and estimates, for its successor.
 *   <li>{@code catalog}: the last machine types read, for a node that starts while the cloud is down.
 * </ul>
 */
public final class JobStore {
    public static final String ACTIVE = "active/";
    public static final String PROGRESS = "progress/";
    public static final String FLEET = "fleet/";
    public static final String BEGUN = "begun/";
    public static final String CATALOG = "catalog";
    public static final String HINTS = "hints/";
    private static final String ENDED = "ended/";
    private static final String PACK = PROGRESS + "pack/";
    private static final String PACKED = "p";
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

    public static String endedKey(String uid) {
        return ENDED + uid;
    }

    public static String activeKey(String uid) {
        return ACTIVE + uid;
    }

    public static String rosterKey(int chunk) {
        return FLEET + chunk;
    }

    public static String begunKey(int chunk) {
        return BEGUN + chunk;
    }

    public static String hintsKey(int part) {
        return HINTS + part;
    }

    /** Number of a record that entries share, or -1. */
    public static int numberOf(String key) {
        try {
            return Integer.parseInt(key.substring(key.indexOf('/') + 1));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    public static String progressKey(String uid, int chunk) {
        return PROGRESS + uid + "/" + chunk;
    }

    public static String packKey(int pack) {
        return PACK + pack;
    }

    /** Number of the pack, or -1 for any other key. */
    public static int packOf(String key) {
        if (!key.startsWith(PACK)) {
            return -1;
        }
        try {
            return Integer.parseInt(key, PACK.length(), key.length(), 10);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** Null when the record is too long to store. */
    public Txn accept(JobSpec spec, long wallMicros) {
        ObjectNode active = Json.object().put(ACCEPTED_MS, wallMicros / 1_000);
        active.set(SPEC, spec.toJson());
        if (Json.write(active).getBytes(StandardCharsets.UTF_8).length > valueBytes) {
            return null;
        }
        return new Txn().guard(activeKey(spec.uid()), 0).guard(endedKey(spec.uid()), 0).put(activeKey(spec.uid()), active);
    }

    /** Ends a job: its state is final from here on. */
    public Txn end(String uid, long stamp, JobState how, int chunks) {
        Txn txn = new Txn().guard(activeKey(uid), stamp).put(endedKey(uid), state(how.wireName())).drop(activeKey(uid));
        for (int i = 0; i < chunks; i++) {
            txn.drop(progressKey(uid, i));
        }
        return txn;
    }

    private static ObjectNode state(String s) {
        return Json.object().put(STATE, s);
    }

    /** Null when it can't be read. */
    public static JobState finalState(JsonNode endedRecord) {
        String s = endedRecord.path(STATE).asText();
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

    /** Bytes the job takes in a pack, or -1 when it is too large to share a record. */
    public int packedBytes(JobSpec spec) {
        int bytes = spec.uid().length() + 8 + (spec.pieces() + 23) / 24 * 4;
        return bytes <= valueBytes / 8 ? bytes : -1;
    }

    /** Room in a pack. */
    public int packBytes() {
        return valueBytes - 32;
    }

    public JsonNode pack(Map<String, BitSet> doneByJob) {
        ObjectNode packed = Json.object();
        doneByJob.forEach((uid, done) -> packed.put(uid, Base64.getEncoder().encodeToString(done.toByteArray())));
        ObjectNode o = Json.object();
        o.set(PACKED, packed);
        return o;
    }

    /** The finished tasks by job; a job whose bitmap can't be read has none. */
    public static Map<String, BitSet> readPack(JsonNode record) {
        Map<String, BitSet> out = new LinkedHashMap<>();
        record.path(PACKED).fields().forEachRemaining(e -> {
            try {
                out.put(e.getKey(), BitSet.valueOf(e.getValue().binaryValue()));
            } catch (IOException | NullPointerException x) {
                out.put(e.getKey(), new BitSet());
            }
        });
        return out;
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
