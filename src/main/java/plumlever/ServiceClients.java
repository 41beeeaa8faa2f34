package plumlever;

import java.util.List;
import java.util.Optional;
import plumlever.cloud.CloudClient;
import plumlever.cloud.MachineTypeCatalog;
import plumlever.cloud.MachineTypeLoader;
import plumlever.http.HttpClient;
import plumlever.metrics.Metrics;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SharingSettings;
import plumlever.store.KeySpace;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;

/**
 * A controller's clients for the state service and the cloud, with the metrics and the machine
 * types and prices they share.
 */
final class ServiceClients {
  private final Metrics metrics;
  private final HttpClient httpClient;
  private final StateClient store;
  private final StateClient electionStore;
  private final RecordLayout recordLayout;
  private final CloudClient cloud;
  private final MachineTypeCatalog typeCatalog;
  private final MachineTypeLoader machineTypeLoader;

  ServiceClients(ControllerEnvironment environment) {
    PlatformConfiguration platform = environment.platform();
    Optional<SharingSettings> sharing = environment.settings().sharing();
    KeySpace keySpace =
        sharing.map(pool -> KeySpace.under(pool.ownShard().prefix())).orElse(KeySpace.ROOT);
    this.metrics = new Metrics(environment.loggerProvider());
    this.httpClient =
        new MeteredCaller(environment.httpClient(), environment.loop(), metrics, platform);
    this.store =
        new StateClient(
            environment.loop(),
            httpClient,
            platform.state(),
            platform.stateLimits(),
            metrics,
            keySpace);
    this.electionStore =
        new StateClient(
            environment.electionLoop(),
            environment.electionHttpClient(),
            platform.state(),
            platform.stateLimits(),
            metrics,
            keySpace);
    this.recordLayout = new RecordLayout(store.limits(), prefixesOfOtherShards(sharing));
    this.cloud =
        new CloudClient(
            environment.loop(), httpClient, platform.cloud(), platform.cloudLimits(), metrics);
    this.typeCatalog = new MachineTypeCatalog(environment.settings().parameters());
    this.machineTypeLoader =
        new MachineTypeLoader(
            environment.loop(), cloud, store, typeCatalog, environment.loggerProvider());
  }

  private static List<String> prefixesOfOtherShards(Optional<SharingSettings> sharing) {
    return sharing
        .map(pool -> pool.otherShards().stream().map(SharingSettings.Shard::prefix).toList())
        .orElse(List.of());
  }

  Metrics metrics() {
    return metrics;
  }

  /**
   * Returns the HTTP client for the controller loop, which measures the time spent on handling
   * responses.
   */
  HttpClient httpClient() {
    return httpClient;
  }

  StateClient store() {
    return store;
  }

  /** Returns the state service client for the election loop. */
  StateClient electionStore() {
    return electionStore;
  }

  RecordLayout recordLayout() {
    return recordLayout;
  }

  CloudClient cloud() {
    return cloud;
  }

  /**
   * Returns the machine types and prices; empty until {@link #machineTypeLoader()} has read them.
   */
  MachineTypeCatalog typeCatalog() {
    return typeCatalog;
  }

  MachineTypeLoader machineTypeLoader() {
    return machineTypeLoader;
  }
}
