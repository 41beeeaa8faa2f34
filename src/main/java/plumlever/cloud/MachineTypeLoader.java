package plumlever.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.slf4j.Logger;
import plumlever.concurrent.EventLoop;
import plumlever.concurrent.RecurringTask;
import plumlever.metrics.LoggerProvider;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.MachineType;

/**
 * Loads the machine types once. They come from the cloud and are then stored in the state service,
 * unless it already holds machine types. If the cloud does not provide them, the machine types in
 * the state service are used.
 */
public final class MachineTypeLoader {
  /** Return value of the recurring task, in place of a delay, that ends its repetition. */
  private static final long NO_NEXT_RUN = -1;

  private static final long RETRY_INTERVAL_MICROS = 1_500_000;

  private final Logger log;
  private final EventLoop loop;
  private final CloudClient cloud;
  private final StateClient store;
  private final MachineTypeCatalog typeCatalog;

  /** Creates a loader that fills the catalog from the cloud or from the state service. */
  public MachineTypeLoader(
      EventLoop loop,
      CloudClient cloud,
      StateClient store,
      MachineTypeCatalog typeCatalog,
      LoggerProvider loggerProvider) {
    this.log = loggerProvider.of(MachineTypeLoader.class);
    this.loop = loop;
    this.cloud = cloud;
    this.store = store;
    this.typeCatalog = typeCatalog;
  }

  /**
   * Returns the recurring task that loads the machine types. The task repeats until the machine
   * types are known.
   */
  public RecurringTask task() {
    return new RecurringTask("machine types", loop, this::load);
  }

  private long load() {
    if (typeCatalog.isLoaded()) {
      return NO_NEXT_RUN;
    }
    cloud.listMachineTypes(
        machineTypes -> machineTypes.ifPresentOrElse(this::useCloudTypes, this::readStored));
    return RETRY_INTERVAL_MICROS;
  }

  private void useCloudTypes(List<MachineType> machineTypes) {
    typeCatalog.update(machineTypes);
    storeIfAbsent(machineTypes);
  }

  private void readStored() {
    store.get(
        RecordLayout.CATALOG,
        StateClient.RequestPriority.ORDINARY,
        stored -> {
          if (stored.found() && !typeCatalog.isLoaded()) {
            useStoredTypes(stored.item().data());
          }
        });
  }

  private void useStoredTypes(JsonNode stored) {
    if (!(stored instanceof ObjectNode catalog)) {
      return;
    }
    try {
      typeCatalog.update(MachineType.parseCatalog(catalog));
      log.info(
          "machine types loaded from the state service because the cloud did not provide them");
    } catch (InvalidMessageException e) {
      log.warn("machine types stored in the state service are invalid: {}", e.getMessage());
    }
  }

  private void storeIfAbsent(List<MachineType> machineTypes) {
    store.get(
        RecordLayout.CATALOG,
        StateClient.RequestPriority.ORDINARY,
        stored -> {
          if (stored.missing()) {
            store.transaction(
                new Transaction()
                    .require(RecordLayout.CATALOG, 0)
                    .put(RecordLayout.CATALOG, MachineType.writeCatalog(machineTypes)),
                StateClient.RequestPriority.ORDINARY,
                result ->
                    log.debug(
                        "storing the machine types in the state service ended with outcome {}",
                        result.outcome()));
          }
        });
  }
}
