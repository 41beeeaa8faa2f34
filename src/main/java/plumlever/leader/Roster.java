package plumlever.leader;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.store.Txn;
import plumlever.wire.Json;

/**
 * The stored record of the machines that may hold tasks. One record for each would use up all changes for a minute when
 * a thousand machines come up, so many share a value. A machine is on record before anything is ordered from it. Each
 * write is guarded by the term and by the record's own revision: one that is carried out late can't undo another.
 */
final class Roster {
    private static final Logger LOG = LoggerFactory.getLogger(Roster.class);
    private static final long PAUSE_MICROS = 250_000;
    private static final long TIDY_MICROS = 5_000_000;
    private static final long RETRY_MICROS = 300_000;
    private static final String HOSTS = "hosts";
    private static final String KINDS = "kinds";
    private static final int KINDS_BYTES = 500;

    /** One stored value. */
    private static final class Chunk {
        final int number;
        final Set<Machine> machines = new LinkedHashSet<>();
        long stamp;
        int bytes = KINDS_BYTES;
        boolean writing;
        /** Something must be written before it can be used, or can be dropped when there is time. */
        boolean due;
        boolean untidy;
        long writtenMicros;

        Chunk(int number) {
            this.number = number;
        }
    }

    private final Context context;
    private final Runnable changed;
    private final Map<Integer, Chunk> chunks = new LinkedHashMap<>();
    private final Map<Machine, Chunk> chunkOf = new HashMap<>();
    private boolean closed;

    Roster(Context context, Runnable changed) {
        this.context = context;
        this.changed = changed;
    }

    /** Takes over what earlier leaders stored. */
    void load(List<StateClient.Item> items, Fleet fleet) {
        for (StateClient.Item i : items) {
            int number;
            try {
                number = Integer.parseInt(i.key().substring(JobStore.FLEET.length()));
            } catch (NumberFormatException e) {
                LOG.error("{} is no record of machines", i.key());
                continue;
            }
            Chunk c = new Chunk(number);
            c.stamp = i.stamp();
            c.writtenMicros = context.loop().nowMicros();
            chunks.put(number, c);
            JsonNode kinds = i.data().path(KINDS);
            for (JsonNode h : i.data().path(HOSTS)) {
                JsonNode kind = kinds.path(h.path(2).asInt());
                String id = h.path(0).asText();
                Machine known = fleet.machine(id);
                Machine m = known != null ? known : new Machine(id, h.path(1).asText(), kind.path(0).asText(),
                        kind.path(1).asText(), kind.path(2).asBoolean(), context.loop().nowMicros());
                m.enrolment(Machine.Enrolment.STORED);
                if (known == null) {
                    fleet.add(m);
                    enter(c, m);
                }
            }
        }
    }

    private void enter(Chunk c, Machine m) {
        c.machines.add(m);
        c.bytes += bytes(m);
        chunkOf.put(m, c);
    }

    private static int bytes(Machine m) {
        return m.id().length() + m.endpoint().length() + 11;
    }

    /** The machine is to be recorded; until its enrolment is stored it takes no orders. */
    void enroll(Machine m) {
        if (m.enrolment() != Machine.Enrolment.NONE || m.endpoint() == null) {
            return;
        }
        m.enrolment(Machine.Enrolment.WRITING);
        Chunk into = null;
        int limit = context.layout().valueBytes();
        for (Chunk c : chunks.values()) {
            if (c.bytes + bytes(m) <= limit) {
                into = c;
                break;
            }
        }
        if (into == null) {
            int number = 0;
            while (chunks.containsKey(number)) {
                number++;
            }
            into = new Chunk(number);
            chunks.put(number, into);
        }
        enter(into, m);
        into.due = true;
        write(into);
    }

    /** The machine is gone for good; its entry goes with the next write, or when there is time for one. */
    void remove(Machine m) {
        Chunk c = chunkOf.remove(m);
        if (c != null) {
            c.machines.remove(m);
            c.bytes -= bytes(m);
            c.untidy = true;
        }
    }

    /** One turn of the duty. */
    long tidy() {
        long now = context.loop().nowMicros();
        for (Chunk c : chunks.values()) {
            if (c.untidy && now - c.writtenMicros > TIDY_MICROS) {
                write(c);
            }
        }
        return TIDY_MICROS / 4;
    }

    private void write(Chunk c) {
        if (closed || c.writing || !(c.due || c.untidy)) {
            return;
        }
        c.writing = true;
        // Machines that come up together are written together.
        long wait = Math.max(0, c.writtenMicros + PAUSE_MICROS - context.loop().nowMicros());
        context.loop().after(c.writtenMicros == 0 ? 0 : wait, () -> send(c));
    }

    private void send(Chunk c) {
        if (closed || !context.office().mayAct()) {
            c.writing = false;
            if (!closed) {
                context.loop().after(RETRY_MICROS, () -> write(c));
            }
            return;
        }
        c.due = false;
        c.untidy = false;
        c.writtenMicros = context.loop().nowMicros();
        List<Machine> written = new ArrayList<>(c.machines);
        Txn txn = context.office().inTerm().guard(JobStore.rosterKey(c.number), c.stamp);
        if (written.isEmpty()) {
            txn.drop(JobStore.rosterKey(c.number));
        } else {
            txn.put(JobStore.rosterKey(c.number), value(written));
        }
        context.store().txn(txn, StateClient.Class.ORDINARY, result -> {
            if (closed) {
                return;
            }
            switch (result.outcome()) {
                case APPLIED -> {
                    c.stamp = written.isEmpty() ? 0 : result.epoch();
                    c.writing = false;
                    boolean news = false;
                    for (Machine m : written) {
                        if (m.enrolment() == Machine.Enrolment.WRITING) {
                            m.enrolment(Machine.Enrolment.STORED);
                            news = true;
                        }
                    }
                    if (news) {
                        changed.run();
                    }
                    write(c);
                }
                case REFUSED -> again(c);
                default -> settle(c);
            }
        });
    }

    private void again(Chunk c) {
        c.due = true;
        context.loop().after(RETRY_MICROS, () -> {
            c.writing = false;
            write(c);
        });
    }

    /** It may have been written, or may be yet: the next write is guarded by what is there now. */
    private void settle(Chunk c) {
        context.store().get(JobStore.rosterKey(c.number), StateClient.Class.ORDINARY, got -> {
            if (got.found()) {
                c.stamp = got.item().stamp();
            } else if (got.missing()) {
                c.stamp = 0;
            }
            again(c);
        });
    }

    private static ObjectNode value(List<Machine> machines) {
        ObjectNode o = Json.object();
        ArrayNode kinds = o.putArray(KINDS);
        ArrayNode hosts = o.putArray(HOSTS);
        Map<String, Integer> numbers = new HashMap<>();
        for (Machine m : machines) {
            int kind = numbers.computeIfAbsent(m.flavor() + "/" + m.site() + "/" + m.spot(), k -> {
                kinds.addArray().add(m.flavor()).add(m.site()).add(m.spot());
                return kinds.size() - 1;
            });
            hosts.addArray().add(m.id()).add(m.endpoint()).add(kind);
        }
        return o;
    }

    void close() {
        closed = true;
    }
}
