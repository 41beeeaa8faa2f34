package plumlever.leader.machine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.leader.record.SharedRecords;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;
import plumlever.wire.Json;

/**
 * The stored record of the machines that may hold tasks. A machine is added to the record before
 * any task is started on it.
 *
 * <p>Format: each stored record lists machines as arrays of id, endpoint and index into the list of
 * machine kinds of the same record. A kind is an array of machine type, zone and whether the
 * machine is a spot machine.
 */
public final class MachineRegistry {
  private static final long WRITE_INTERVAL_MICROS = 250_000;
  private static final String MACHINES = "hosts";
  private static final String KINDS = "kinds";

  /** Positions of the fields in the stored array that describes one machine. */
  private static final int MACHINE_ID = 0;

  private static final int MACHINE_ENDPOINT = 1;
  private static final int MACHINE_KIND = 2;

  /** Positions of the fields in the stored array that describes one kind of machine. */
  private static final int KIND_TYPE = 0;

  private static final int KIND_ZONE = 1;
  private static final int KIND_SPOT = 2;

  /**
   * Bytes reserved in each stored value for its list of machine kinds (type, zone and spot flag).
   */
  private static final int KINDS_BYTES = 500;

  /** Bytes of a machine's stored array in addition to the machine's id and endpoint. */
  private static final int ENTRY_BYTES = 11;

  private final Logger log;
  private final TermContext context;
  private final SharedRecords<Machine> records;

  /**
   * Creates an empty registry for one term.
   *
   * @param onChange runs after more machines have been stored
   */
  public MachineRegistry(TermContext context, Runnable onChange) {
    this.context = context;
    this.log = context.loggerProvider().of(MachineRegistry.class);
    this.records = new SharedRecords<>(context, new Layout(), WRITE_INTERVAL_MICROS, onChange);
  }

  /**
   * Loads the records of earlier leaders; machines that are not in the fleet yet are added to the
   * fleet.
   */
  public void load(List<StateClient.Item> items, Fleet fleet) {
    for (StateClient.Item item : items) {
      int number = RecordLayout.sharedRecordNumber(item.key());
      if (number < 0) {
        log.error("ignoring key {}: not a record of the machine registry", item.key());
        continue;
      }
      List<Machine> entries = new ArrayList<>();
      for (JsonNode node : item.data().path(MACHINES)) {
        if (fleet.machine(node.path(MACHINE_ID).asText()) == null) {
          Machine machine = readMachine(node, item.data().path(KINDS));
          machine.markInherited();
          fleet.add(machine);
          entries.add(machine);
        }
      }
      records.load(number, item.revision(), entries);
    }
  }

  private Machine readMachine(JsonNode node, JsonNode kinds) {
    JsonNode kind = kinds.path(node.path(MACHINE_KIND).asInt());
    return new Machine(
        node.path(MACHINE_ID).asText(),
        node.path(MACHINE_ENDPOINT).asText(),
        kind.path(KIND_TYPE).asText(),
        kind.path(KIND_ZONE).asText(),
        kind.path(KIND_SPOT).asBoolean(),
        context.loop().nowMicros());
  }

  /**
   * Adds the machine to the stored machine records if its endpoint is known. No task is started on
   * the machine until the write is acknowledged.
   */
  public void register(Machine machine) {
    if (machine.endpoint() != null) {
      records.register(machine);
    }
  }

  /** Removes a machine that no longer exists; the next write omits the machine. */
  public void remove(Machine machine) {
    records.remove(machine);
  }

  /**
   * Rewrites stored machine records that list removed machines, and splits records that exceed the
   * size limit.
   *
   * @return microseconds until the next call
   */
  public long cleanUp() {
    return records.cleanUp();
  }

  /** Stops all writes of the machine records. */
  public void close() {
    records.close();
  }

  private static final class Layout implements SharedRecords.Layout<Machine> {
    @Override
    public String key(int number) {
      return RecordLayout.machinesKey(number);
    }

    @Override
    public int bytes(Machine machine) {
      return machine.id().length() + machine.endpoint().length() + ENTRY_BYTES;
    }

    @Override
    public int baseBytes() {
      return KINDS_BYTES;
    }

    @Override
    public ObjectNode value(List<Machine> machines) {
      ObjectNode object = Json.object();
      ArrayNode kinds = object.putArray(KINDS);
      ArrayNode entries = object.putArray(MACHINES);
      Map<String, Integer> kindIndexes = new HashMap<>();
      for (Machine machine : machines) {
        int kind =
            kindIndexes.computeIfAbsent(
                machine.machineType() + "/" + machine.zone() + "/" + machine.spot(),
                key -> addKind(machine, kinds));
        entries.addArray().add(machine.id()).add(machine.endpoint()).add(kind);
      }
      return object;
    }

    private static int addKind(Machine machine, ArrayNode kinds) {
      kinds.addArray().add(machine.machineType()).add(machine.zone()).add(machine.spot());
      return kinds.size() - 1;
    }
  }
}
