package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import plumlever.wire.Json;

/** A guarded transaction under construction. */
public final class Txn {
    /** What became of a transaction. */
    public enum Outcome {
        /** Carried out. */
        APPLIED,
        /** A guard did not hold; nothing was changed. */
        CONFLICT,
        /** Surely not carried out: refused by a limit, an outage or as malformed. */
        REFUSED,
        /** No answer: it may have been carried out, or may be later. */
        UNKNOWN
    }

    private final ObjectNode body = Json.object();
    private final ArrayNode guards = body.putArray("guards");
    private final ArrayNode then = body.putArray("then");

    /** @param stamp 0: the key must not exist */
    public Txn guard(String key, long stamp) {
        guards.addObject().put("k", key).put("stamp", stamp);
        return this;
    }

    public Txn put(String key, JsonNode data) {
        then.addObject().put("put", key).set("data", data);
        return this;
    }

    public Txn put(String key, JsonNode data, long permit) {
        ObjectNode n = then.addObject().put("put", key).put("permit", permit);
        n.set("data", data);
        return this;
    }

    public Txn drop(String key) {
        then.addObject().put("drop", key);
        return this;
    }

    public int changes() {
        return then.size();
    }

    ObjectNode body() {
        return body;
    }
}
