package plumlever.leader.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.fleet.RunTimeEstimates;
import plumlever.wire.Json;

/**
 * Tests that the next leader can restore image caches and estimates from the stored warm state,
 * including warm state that is split over several values.
 */
final class WarmStateCodecTest {
  private static final int LARGE_VALUE_BYTES = 16 * 1024;
  private static final int SMALL_VALUE_BYTES = 1024;
  private static final int MACHINES = 40;

  private static Fleet fleet(int machines) {
    Fleet fleet = new Fleet(1);
    for (int i = 0; i < machines; i++) {
      fleet.add(new Machine("i-" + i, "i-" + i + ":9", "small", "a", false, 0));
    }
    return fleet;
  }

  /**
   * Returns a fleet in which each machine has one image of its own and one image that all machines
   * share.
   */
  private static Fleet fleetWithImages(int machines) {
    Fleet fleet = fleet(machines);
    int number = 0;
    for (Machine machine : fleet.machines()) {
      machine.images().markReady("shared", 2.5);
      machine.images().markReady("own-" + number++, 1);
    }
    return fleet;
  }

  private static List<ObjectNode> write(Fleet fleet, int maxBytes) {
    return new WarmStateCodec(fleet, new RunTimeEstimates()).write(maxBytes);
  }

  private static void read(List<ObjectNode> values, Fleet fleet) {
    WarmStateCodec codec = new WarmStateCodec(fleet, new RunTimeEstimates());
    values.forEach(codec::read);
  }

  @Test
  void imageCachesAreRestored() {
    Fleet next = fleet(MACHINES);

    read(write(fleetWithImages(MACHINES), LARGE_VALUE_BYTES), next);

    assertEquals(Map.of("shared", 2.5, "own-3", 1.0), next.machine("i-3").images().readyImages());
  }

  @Test
  void estimatesAreRestored() {
    RunTimeEstimates estimates = new RunTimeEstimates();
    estimates.adoptRatio("train", 1.5);
    RunTimeEstimates next = new RunTimeEstimates();

    List<ObjectNode> values = new WarmStateCodec(fleet(0), estimates).write(LARGE_VALUE_BYTES);
    values.forEach(new WarmStateCodec(fleet(0), next)::read);

    assertEquals(Map.of("train", 1.5), next.ratios());
  }

  @Test
  void noValueExceedsTheLimit() {
    List<ObjectNode> values = write(fleetWithImages(MACHINES), SMALL_VALUE_BYTES);

    assertTrue(values.size() > 1);
    for (ObjectNode value : values) {
      int bytes = Json.write(value).getBytes(StandardCharsets.UTF_8).length;
      assertTrue(bytes <= SMALL_VALUE_BYTES, "a value of " + bytes + " bytes exceeds the limit");
    }
  }

  @Test
  void stateSplitOverSeveralValuesIsRestoredInFull() {
    Fleet next = fleet(MACHINES);

    read(write(fleetWithImages(MACHINES), SMALL_VALUE_BYTES), next);

    for (Machine machine : next.machines()) {
      assertEquals(2, machine.images().readyImages().size(), machine.id());
    }
  }

  @Test
  void machinesMissingFromTheFleetAreIgnored() {
    Fleet next = fleet(1);

    read(write(fleetWithImages(2), LARGE_VALUE_BYTES), next);

    assertEquals(Map.of("shared", 2.5, "own-0", 1.0), next.machine("i-0").images().readyImages());
  }
}
