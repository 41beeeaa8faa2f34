package plumlever.cloud;

import com.fasterxml.jackson.databind.JsonNode;
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
import plumlever.wire.MachineType;

/**
 * Loads the machine types once: from the cloud, after which they are stored, or from what was last
 * stored while the cloud does not answer.
 */
public final class MachineTypeRefresh {
  /** The pause of a recurring task that has nothing more to do. */
  private static final long FINISHED = -1;

  private static final long RETRY_INTERVAL_MICROS = 1_500_000;

  private final Logger log;
  private final Loop loop;
  private final CloudClient cloud;
  private final StateClient store;
  private final PriceBook prices;

  /** Fills the price book from the cloud or the state service. */
  public MachineTypeRefresh(
      Loop loop, CloudClient cloud, StateClient store, PriceBook prices, Logs logs) {
    this.log = logs.of(MachineTypeRefresh.class);
    this.loop = loop;
    this.cloud = cloud;
    this.store = store;
    this.prices = prices;
  }

  /** Asks until the machine types are known. */
  public RecurringTask task() {
    return new RecurringTask("machine types", loop, this::refresh);
  }

  private long refresh() {
    if (prices.isLoaded()) {
      return FINISHED;
    }
    cloud.listMachineTypes(
        machineTypes -> machineTypes.ifPresentOrElse(this::useCloudTypes, this::readStored));
    return RETRY_INTERVAL_MICROS;
  }

  private void useCloudTypes(List<MachineType> machineTypes) {
    prices.update(machineTypes);
    storeIfAbsent(machineTypes);
  }

  private void readStored() {
    store.get(
        JobStore.CATALOG,
        StateClient.RequestPriority.ORDINARY,
        stored -> {
          if (stored.found() && !prices.isLoaded()) {
            useStoredTypes(stored.item().data());
          }
        });
  }

  private void useStoredTypes(JsonNode stored) {
    if (!(stored instanceof ObjectNode catalog)) {
      return;
    }
    try {
      prices.update(MachineType.parseCatalog(catalog));
      log.info("machine types are read from the state service, the cloud does not answer");
    } catch (InvalidMessageException e) {
      log.warn("the stored machine types are invalid: {}", e.getMessage());
    }
  }

  private void storeIfAbsent(List<MachineType> machineTypes) {
    store.get(
        JobStore.CATALOG,
        StateClient.RequestPriority.ORDINARY,
        stored -> {
          if (stored.missing()) {
            store.transaction(
                new Transaction()
                    .require(JobStore.CATALOG, 0)
                    .put(JobStore.CATALOG, MachineType.writeCatalog(machineTypes)),
                StateClient.RequestPriority.ORDINARY,
                result -> log.debug("machine types stored: {}", result.outcome()));
          }
        });
  }
}
