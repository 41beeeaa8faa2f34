package plumlever.sharing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.TaskName;

/**
 * An attempt to run a task of one shard on a machine that another shard owns.
 *
 * @param attempt number of the attempt, unique in the pool
 * @param cores cores that the attempt uses on the machine
 */
public record ForeignTask(
    TaskName task, long attempt, double cores, double accelerators, double memoryGb) {
  private static final int TASK = 0;
  private static final int ATTEMPT = 1;
  private static final int CORES = 2;
  private static final int ACCELERATORS = 3;
  private static final int MEMORY = 4;

  void writeTo(ArrayNode array) {
    array.addArray().add(task.wireName()).add(attempt).add(cores).add(accelerators).add(memoryGb);
  }

  static ForeignTask parse(JsonNode node) throws InvalidMessageException {
    if (!node.path(TASK).isTextual() || !node.path(ATTEMPT).isIntegralNumber()) {
      throw new InvalidMessageException("foreign task lacks its task name or its attempt number");
    }
    return new ForeignTask(
        TaskName.of(node.path(TASK).asText()),
        node.path(ATTEMPT).asLong(),
        node.path(CORES).asDouble(),
        node.path(ACCELERATORS).asDouble(),
        node.path(MEMORY).asDouble());
  }
}
