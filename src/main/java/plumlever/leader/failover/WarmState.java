package plumlever.leader.failover;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.fleet.RunTimeEstimates;
import plumlever.leader.context.Context;
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.Json;

/**
 * What a successor would otherwise have to learn anew: which machines have which images, and how
 * far estimates are off. Written now and then, in as many values as a large fleet takes: without it
 * each change of leader costs a fetch for most tasks that watch. It is advice only: wrong or
 * missing hints cost time, no rule.
 */
public final class WarmState {
  private static final long EVERY_MICROS = 10_000_000;

  /** Changes in one transaction: submissions must not wait for these. */
  private static final int MOST_AT_ONCE = 2;

  /** Stands for a part that is not needed any more. */
  private static final ObjectNode GONE = Json.object();

  private static final String IMAGES = "images";
  private static final String MACHINES = "machines";
  private static final String RATIOS = "ratios";

  /** What a part takes besides its machines and images, and each of those besides its name. */
  private static final int BASE_BYTES = 400;

  private static final int MACHINE_BYTES = 6;
  private static final int IMAGE_BYTES = 24;
  private static final int INDEX_BYTES = 4;

  private final Context context;
  private final Fleet fleet;
  private final RunTimeEstimates estimates;

  /** What the state service holds, part by part; null where that is not known. */
  private final List<ObjectNode> written = new ArrayList<>();

  private int cursor;
  private boolean writing;

  /** Warm state of this term, to be loaded once and then written now and then. */
  public WarmState(Context context, Fleet fleet, RunTimeEstimates estimates) {
    this.context = context;
    this.fleet = fleet;
    this.estimates = estimates;
  }

  /** Takes what the last leader left. */
  public void load(List<StateClient.Item> items) {
    for (StateClient.Item item : items) {
      apply(item.data());
      known(JobStore.numberOf(item.key()));
    }
  }

  private void apply(JsonNode data) {
    List<JsonNode> images = new ArrayList<>();
    data.path(IMAGES).forEach(images::add);
    data.path(MACHINES)
        .properties()
        .forEach(
            e -> {
              Machine machine = fleet.machine(e.getKey());
              if (machine != null) {
                for (JsonNode index : e.getValue()) {
                  int otherIndex = index.asInt(-1);
                  if (otherIndex >= 0 && otherIndex < images.size()) {
                    machine
                        .images()
                        .markReady(
                            images.get(otherIndex).path(0).asText(),
                            images.get(otherIndex).path(1).asDouble());
                  }
                }
              }
            });
    data.path(RATIOS)
        .properties()
        .forEach(e -> estimates.adoptRatio(e.getKey(), e.getValue().asDouble(1)));
  }

  /** One value, as it is put together. */
  private static final class Part {
    final ObjectNode out = Json.object();
    final ArrayNode images = out.putArray(IMAGES);
    final ObjectNode machines = out.putObject(MACHINES);
    final Map<String, Integer> indexes = new HashMap<>();
    int bytes = BASE_BYTES;

    /** False when it does not fit. */
    boolean add(Machine machine, Map<String, Double> held, int limit) {
      int more = machine.id().length() + MACHINE_BYTES + INDEX_BYTES * held.size();
      for (String name : held.keySet()) {
        more += indexes.containsKey(name) ? 0 : bytes(name) + IMAGE_BYTES;
      }
      if (bytes + more > limit) {
        return false;
      }
      bytes += more;
      ArrayNode array = machines.putArray(machine.id());
      held.forEach(
          (name, gb) ->
              array.add(
                  indexes.computeIfAbsent(
                      name,
                      k -> {
                        images.addArray().add(name).add(Math.round(gb * 1_000) / 1_000.0);
                        return images.size() - 1;
                      })));
      return true;
    }
  }

  /** Users name images; what they put into a name may take several times its length. */
  private static int bytes(String name) {
    return Json.write(TextNode.valueOf(name)).getBytes(StandardCharsets.UTF_8).length;
  }

  private List<ObjectNode> parts() {
    List<Part> parts = new ArrayList<>();
    Part part = new Part();
    parts.add(part);
    ObjectNode ratios = part.out.putObject(RATIOS);
    estimates.ratios().forEach((k, v) -> ratios.put(k, Math.round(v * 100) / 100.0));
    part.bytes += Json.write(ratios).length();
    int limit = context.layout().valueBytes();
    for (Machine machine : fleet.machines()) {
      Map<String, Double> held = machine.images().readyImages();
      if (!held.isEmpty() && !part.add(machine, held, limit)) {
        part = new Part();
        parts.add(part);
        part.add(machine, held, limit);
      }
    }
    return parts.stream().map(p -> p.out).toList();
  }

  /** One turn of the duty: some of what has changed, going on where the last turn stopped. */
  public long write() {
    if (writing) {
      return EVERY_MICROS;
    }
    List<ObjectNode> now = parts();
    int all = Math.max(now.size(), written.size());
    Transaction transaction = context.term().requireTerm();
    Map<Integer, ObjectNode> sent = new HashMap<>();
    for (int n = 0; n < all && sent.size() < MOST_AT_ONCE; n++) {
      int index = cursor++ % all;
      ObjectNode part = index < now.size() ? now.get(index) : GONE;
      if (index < written.size() && part.equals(written.get(index))) {
        continue;
      }
      sent.put(index, part);
      if (part == GONE) {
        transaction.drop(JobStore.warmStateKey(index));
      } else {
        transaction.put(JobStore.warmStateKey(index), part);
      }
    }
    cursor %= all;
    if (!sent.isEmpty()) {
      writing = true;
      context
          .store()
          .transaction(
              transaction,
              StateClient.RequestPriority.ORDINARY,
              result -> {
                writing = false;
                sent.forEach(
                    (i, part) -> {
                      known(i);
                      written.set(i, result.applied() ? part : null);
                    });
              });
    }
    return sent.size() == MOST_AT_ONCE ? EVERY_MICROS / 4 : EVERY_MICROS;
  }

  /** Makes room in the list of what is stored. */
  private void known(int part) {
    while (written.size() <= part) {
      written.add(null);
    }
  }
}
