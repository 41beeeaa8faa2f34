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
import plumlever.leader.context.Context;
import plumlever.leader.record.SharedRecords;
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.wire.Json;

/**
 * The stored record of the machines that may hold tasks: a machine is in it before anything is
 * ordered from it.
 */
public final class MachineRegistry {
  private static final long PAUSE_MICROS = 250_000;
  private static final String MACHINES = "hosts";
  private static final String KINDS = "kinds";
  private static final int KINDS_BYTES = 500;

  /** What an entry takes besides name and address. */
  private static final int ENTRY_BYTES = 11;

  private final Logger log;
  private final Context context;
  private final SharedRecords<Machine> records;

  /**
   * The records of one term, empty until they are loaded.
   *
   * @param changed runs when machines have come to be on record
   */
  public MachineRegistry(Context context, Runnable changed) {
    this.context = context;
    this.log = context.logs().of(MachineRegistry.class);
    this.records = new SharedRecords<>(context, new Layout(), PAUSE_MICROS, changed);
  }

  /** Takes over what earlier leaders stored. */
  public void load(List<StateClient.Item> items, Fleet fleet) {
    for (StateClient.Item item : items) {
      int number = JobStore.numberOf(item.key());
      if (number < 0) {
        log.error("{} is no record of machines", item.key());
        continue;
      }
      List<Machine> entries = new ArrayList<>();
      JsonNode kinds = item.data().path(KINDS);
      for (JsonNode node : item.data().path(MACHINES)) {
        JsonNode kind = kinds.path(node.path(2).asInt());
        String id = node.path(0).asText();
        Machine known = fleet.machine(id);
        Machine machine =
            known != null
                ? known
                : new Machine(
                    id,
                    node.path(1).asText(),
                    kind.path(0).asText(),
                    kind.path(1).asText(),
                    kind.path(2).asBoolean(),
                    context.loop().nowMicros());
        if (known == null) {
          fleet.add(machine);
          entries.add(machine);
        }
      }
      records.load(number, item.revision(), entries);
    }
  }

  /** The machine is to be recorded; until its enrolment is stored it takes no orders. */
  public void register(Machine machine) {
    if (machine.endpoint() != null) {
      records.enroll(machine);
    }
  }

  /** The machine is gone for good. */
  public void remove(Machine machine) {
    records.remove(machine);
  }

  public long flush() {
    return records.tidy();
  }

  public void close() {
    records.close();
  }

  private static final class Layout implements SharedRecords.Layout<Machine> {
    @Override
    public String key(int number) {
      return JobStore.machinesKey(number);
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
      ArrayNode machineIds = object.putArray(MACHINES);
      Map<String, Integer> numbers = new HashMap<>();
      for (Machine machine : machines) {
        int kind =
            numbers.computeIfAbsent(
                machine.machineType() + "/" + machine.zone() + "/" + machine.spot(),
                k -> {
                  kinds
                      .addArray()
                      .add(machine.machineType())
                      .add(machine.zone())
                      .add(machine.spot());
                  return kinds.size() - 1;
                });
        machineIds.addArray().add(machine.id()).add(machine.endpoint()).add(kind);
      }
      return object;
    }
  }
}
