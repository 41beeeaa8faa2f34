package plumlever.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.slf4j.Logger;
import plumlever.concurrent.Loop;
import plumlever.concurrent.RecurringTask;
import plumlever.metrics.Logs;
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;
import plumlever.wire.MachineType;
import plumlever.wire.ProtocolField;

/**
 * Learns the machine types once: from the cloud, which are then stored, or from what was last
 * stored while the cloud does not answer.
 */
public final class MachineTypeRefresh {
  private static final long RETRY_MICROS = 1_500_000;

  private final Logger log;
  private final Loop loop;
  private final CloudClient cloud;
  private final StateClient store;
  private final PriceBook prices;

  /** Fills the price book by these clients. */
  public MachineTypeRefresh(
      Loop loop, CloudClient cloud, StateClient store, PriceBook prices, Logs logs) {
    this.log = logs.of(MachineTypeRefresh.class);
    this.loop = loop;
    this.cloud = cloud;
    this.store = store;
    this.prices = prices;
  }

  /** Asks until the types are known. */
  public RecurringTask task() {
    return new RecurringTask("machine types", loop, this::refresh);
  }

  private long refresh() {
    if (prices.isLoaded()) {
      return -1;
    }
    cloud.listMachineTypes(
        machineTypes -> {
          if (machineTypes != null) {
            prices.update(machineTypes);
            storeOnce(machineTypes);
          } else {
            readStored();
          }
        });
    return RETRY_MICROS;
  }

  private void readStored() {
    store.get(
        JobStore.CATALOG,
        StateClient.RequestPriority.ORDINARY,
        got -> {
          if (got.found() && !prices.isLoaded()) {
            take(got.item().data());
          }
        });
  }

  private void take(JsonNode stored) {
    if (!(stored instanceof ObjectNode catalog)) {
      return;
    }
    try {
      prices.update(MachineType.parseCatalog(catalog));
      log.info("machine types taken from the state service, the cloud does not answer");
    } catch (InvalidMessageException e) {
      log.warn("the stored machine types can't be read: {}", e.getMessage());
    }
  }

  private void storeOnce(List<MachineType> machineTypes) {
    store.get(
        JobStore.CATALOG,
        StateClient.RequestPriority.ORDINARY,
        got -> {
          if (got.missing()) {
            store.transaction(
                new Transaction()
                    .require(JobStore.CATALOG, 0)
                    .put(JobStore.CATALOG, record(machineTypes)),
                StateClient.RequestPriority.ORDINARY,
                result -> log.debug("machine types stored: {}", result.outcome()));
          }
        });
  }

  private static ObjectNode record(List<MachineType> machineTypes) {
    ObjectNode catalog = Json.object();
    ArrayNode array = catalog.putArray(ProtocolField.MACHINE_TYPES);
    for (MachineType machineType : machineTypes) {
      ObjectNode type = array.addObject();
      type.put(ProtocolField.MACHINE_TYPE_NAME, machineType.name())
          .put("cores", machineType.cores())
          .put("accelerators", machineType.accelerators())
          .put("memory_gb", machineType.memoryGb())
          .put("cache_gb", machineType.cacheGb())
          .put("fetch_gb_per_s", machineType.fetchGbPerS())
          .put("hourly", machineType.hourlyPrice())
          .put(ProtocolField.SPOT_PRICE, machineType.spotPrice())
          .put("startup_s", machineType.startupS());
      ArrayNode zones = type.putArray(ProtocolField.ZONES);
      machineType.zones().forEach(zones::add);
    }
    return catalog;
  }
}
