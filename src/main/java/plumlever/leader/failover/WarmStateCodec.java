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
import plumlever.wire.Json;

/**
 * Encodes the cached images of each machine and the run-time estimates into one or more JSON
 * records, and decodes these records. The first record holds the estimates. Each record lists its
 * images once; machines refer to images by index.
 */
final class WarmStateCodec {
  private static final String IMAGES = "images";
  private static final String MACHINES = "machines";
  private static final String RATIOS = "ratios";

  /** Bytes reserved in an encoded record for everything except its machines and images. */
  private static final int BASE_BYTES = 400;

  /** Encoded size in bytes of a machine besides its name and image indexes. */
  private static final int MACHINE_BYTES = 6;

  /** Encoded size in bytes of an image besides its name. */
  private static final int IMAGE_BYTES = 24;

  private static final int INDEX_BYTES = 4;

  private static final double RATIO_STEPS = 100;
  private static final double GB_STEPS = 1_000;

  private final Fleet fleet;
  private final RunTimeEstimates estimates;

  WarmStateCodec(Fleet fleet, RunTimeEstimates estimates) {
    this.fleet = fleet;
    this.estimates = estimates;
  }

  /**
   * Applies one stored record of cached images and run-time estimates; machines that are not in the
   * fleet are ignored.
   */
  void read(JsonNode value) {
    List<JsonNode> images = new ArrayList<>();
    value.path(IMAGES).forEach(images::add);
    value
        .path(MACHINES)
        .properties()
        .forEach(
            entry -> {
              Machine machine = fleet.machine(entry.getKey());
              if (machine != null) {
                entry.getValue().forEach(index -> readImage(machine, images, index.asInt(-1)));
              }
            });
    value
        .path(RATIOS)
        .properties()
        .forEach(entry -> estimates.adoptRatio(entry.getKey(), entry.getValue().asDouble(1)));
  }

  private static void readImage(Machine machine, List<JsonNode> images, int index) {
    if (index >= 0 && index < images.size()) {
      JsonNode image = images.get(index);
      machine.images().markReady(image.path(0).asText(), image.path(1).asDouble());
    }
  }

  /**
   * Encodes the current image caches and run-time estimates into records of at most this size;
   * returns at least one record.
   */
  List<ObjectNode> write(int maxBytes) {
    List<ValueBuilder> builders = new ArrayList<>();
    ValueBuilder builder = new ValueBuilder();
    builders.add(builder);
    builder.putRatios(estimates.ratios());
    for (Machine machine : fleet.machines()) {
      Map<String, Double> ready = machine.images().readyImages();
      if (!ready.isEmpty() && !builder.add(machine, ready, maxBytes)) {
        builder = new ValueBuilder();
        builders.add(builder);
        builder.add(machine, ready, maxBytes);
      }
    }
    return builders.stream().map(each -> each.value).toList();
  }

  /** Builds one stored record from machines, their cached images and the run-time estimates. */
  private static final class ValueBuilder {
    final ObjectNode value = Json.object();
    private final ArrayNode images = value.putArray(IMAGES);
    private final ObjectNode machines = value.putObject(MACHINES);
    private final Map<String, Integer> indexByImage = new HashMap<>();
    private int bytes = BASE_BYTES;

    void putRatios(Map<String, Double> ratioByClass) {
      ObjectNode ratios = value.putObject(RATIOS);
      ratioByClass.forEach(
          (jobClass, ratio) -> ratios.put(jobClass, Math.round(ratio * RATIO_STEPS) / RATIO_STEPS));
      bytes += Json.write(ratios).length();
    }

    /**
     * Adds the machine with its cached images.
     *
     * @param ready sizes of the images in GB by name
     * @return false if the record would exceed {@code maxBytes}; the machine is then not added
     */
    boolean add(Machine machine, Map<String, Double> ready, int maxBytes) {
      int size = sizeOf(machine, ready);
      if (bytes + size > maxBytes) {
        return false;
      }
      bytes += size;
      ArrayNode indexes = machines.putArray(machine.id());
      ready.forEach(
          (image, gb) -> indexes.add(indexByImage.computeIfAbsent(image, k -> addImage(k, gb))));
      return true;
    }

    private int sizeOf(Machine machine, Map<String, Double> ready) {
      int size = machine.id().length() + MACHINE_BYTES + INDEX_BYTES * ready.size();
      for (String image : ready.keySet()) {
        size += indexByImage.containsKey(image) ? 0 : jsonBytes(image) + IMAGE_BYTES;
      }
      return size;
    }

    private int addImage(String image, double gb) {
      images.addArray().add(image).add(Math.round(gb * GB_STEPS) / GB_STEPS);
      return images.size() - 1;
    }

    /**
     * Returns the encoded size of an image name. Users choose the names, and JSON escaping may make
     * a name several times as long.
     */
    private static int jsonBytes(String image) {
      return Json.write(TextNode.valueOf(image)).getBytes(StandardCharsets.UTF_8).length;
    }
  }
}
