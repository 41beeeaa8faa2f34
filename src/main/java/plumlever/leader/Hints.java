package plumlever.leader;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import plumlever.fleet.Estimates;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.wire.Json;

/**
 * What a successor would otherwise have to learn anew: which machines have which images, and how far estimates are off.
 * One record in the state service, written now and then. It is advice only: wrong or missing hints cost time, no rule.
 */
final class Hints {
    private static final long EVERY_MICROS = 10_000_000;
    private static final String IMAGES = "images";
    private static final String MACHINES = "machines";
    private static final String RATIOS = "ratios";

    private final Context context;
    private final Fleet fleet;
    private final Estimates estimates;
    private String written = "";

    Hints(Context context, Fleet fleet, Estimates estimates) {
        this.context = context;
        this.fleet = fleet;
        this.estimates = estimates;
    }

    /** Takes what the last leader left; {@code then} runs whatever came of it. */
    void read(Runnable then) {
        context.store().get(JobStore.HINTS, StateClient.Class.URGENT, got -> {
            if (got.found()) {
                apply(got.item().data());
            }
            then.run();
        });
    }

    private void apply(JsonNode data) {
        List<JsonNode> images = new ArrayList<>();
        data.path(IMAGES).forEach(images::add);
        data.path(MACHINES).fields().forEachRemaining(e -> {
            Machine m = fleet.machine(e.getKey());
            if (m != null) {
                for (JsonNode index : e.getValue()) {
                    int i = index.asInt(-1);
                    if (i >= 0 && i < images.size()) {
                        m.hasImage(images.get(i).path(0).asText(), images.get(i).path(1).asDouble());
                    }
                }
            }
        });
        data.path(RATIOS).fields().forEachRemaining(e -> estimates.suggest(e.getKey(), e.getValue().asDouble(1)));
    }

    /** One turn of the duty. */
    long write() {
        ObjectNode out = Json.object();
        ArrayNode images = out.putArray(IMAGES);
        ObjectNode machines = out.putObject(MACHINES);
        ObjectNode ratios = out.putObject(RATIOS);
        estimates.ratios().forEach((k, v) -> ratios.put(k, Math.round(v * 100) / 100.0));
        Map<String, Integer> indexes = new HashMap<>();
        int room = context.layout().valueBytes() - 256 - Json.write(out).length();
        for (Machine m : fleet.machines()) {
            ArrayNode held = Json.object().arrayNode();
            m.readyImages().forEach((name, gb) -> held.add(indexes.computeIfAbsent(name, k -> {
                images.addArray().add(name).add(gb);
                return images.size() - 1;
            })));
            room -= m.id().length() + 6 + 3 * held.size();
            if (room < 24 * images.size()) {
                break;
            }
            if (!held.isEmpty()) {
                machines.set(m.id(), held);
            }
        }
        String text = Json.write(out);
        if (text.equals(written) || text.getBytes(StandardCharsets.UTF_8).length > context.layout().valueBytes()) {
            return EVERY_MICROS;
        }
        context.store().txn(context.office().inTerm().put(JobStore.HINTS, out), StateClient.Class.ORDINARY, result -> {
            if (result.applied()) {
                written = text;
            }
        });
        return EVERY_MICROS;
    }
}
