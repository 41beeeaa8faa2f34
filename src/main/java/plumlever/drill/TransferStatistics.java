package plumlever.drill;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import plumlever.concurrent.EventLoop;

/**
 * Collects statistics of transfers from the pool's records: their number, their durations, and the
 * number of tasks on the machines.
 */
final class TransferStatistics {
  private static final String PREFIX = "pool/transfers/";
  private static final String TAKEN = "TAKEN";
  private static final double MEDIAN = 50;
  private static final String OFFERED = "OFFERED";

  private final EventLoop loop;
  private final Map<String, String> ownerByMachine = new HashMap<>();
  private final Map<String, Long> offeredMicros = new HashMap<>();
  private final Histogram durations = new Histogram(3);
  private final List<String> lines = new ArrayList<>();
  private int transferredTasks;
  private int withTasks;

  TransferStatistics(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Records the start or end of a machine's transfer if the put into the state service is of a
   * record that shows one.
   */
  void onPut(String key, JsonNode value) {
    if (!key.startsWith(PREFIX)) {
      return;
    }
    String machine = key.substring(PREFIX.length());
    String owner = value.path("owner").asText();
    if (value.path("state").asText().equals(OFFERED)) {
      ownerByMachine.put(machine, owner);
      offeredMicros.put(machine, loop.nowMicros());
    } else if (value.path("state").asText().equals(TAKEN)
        && ownerByMachine.containsKey(machine)
        && !owner.equals(ownerByMachine.get(machine))) {
      recordTransfer(machine, owner, value);
    }
  }

  private void recordTransfer(String machine, String owner, JsonNode value) {
    int tasks = 0;
    for (JsonNode foreignTasks : value.path("homes")) {
      tasks += foreignTasks.size();
    }
    long micros = loop.nowMicros() - offeredMicros.get(machine);
    durations.recordValue(micros);
    transferredTasks += tasks;
    withTasks += tasks > 0 ? 1 : 0;
    lines.add(
        machine
            + " from "
            + ownerByMachine.get(machine)
            + " to "
            + owner
            + " with "
            + tasks
            + " tasks in "
            + micros / 1_000
            + " ms");
    ownerByMachine.put(machine, owner);
  }

  int count() {
    return lines.size();
  }

  /** Returns the number of transfers in which the machine had tasks of other shards on it. */
  int withTasks() {
    return withTasks;
  }

  int transferredTasks() {
    return transferredTasks;
  }

  List<String> lines() {
    return lines;
  }

  long medianMicros() {
    return durations.getValueAtPercentile(MEDIAN);
  }

  long maxMicros() {
    return durations.getMaxValue();
  }
}
