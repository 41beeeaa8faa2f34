package plumlever.leader.context;

import java.util.List;
import java.util.Optional;
import plumlever.cloud.MachineTypeCatalog;
import plumlever.concurrent.ManualEventLoop;
import plumlever.http.HttpClient;
import plumlever.lease.SettledCommands;
import plumlever.metrics.LoggerProvider;
import plumlever.metrics.Metrics;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.HttpStatus;
import plumlever.wire.Json;

/**
 * A leader's context for unit tests, with no election, term or cloud. The clock advances, and
 * timers fire, only by calls of {@link #advance}. Requests are not answered, except for the writes
 * refused by {@link #refuseValueOfSize}.
 */
public final class ContextFixture {
  /** The initial limit on the size of a stored value. */
  public static final int VALUE_BYTES = 8192;

  /** The duration of a worker's lease. */
  public static final long LEASE_MICROS = 26_000_000;

  private static final Endpoint UNUSED_ENDPOINT = new Endpoint("nowhere", 1);
  private static final PlatformConfiguration.StateLimits LIMITS =
      new PlatformConfiguration.StateLimits(100, 40, VALUE_BYTES, 8);
  private static final PlatformConfiguration PLATFORM =
      new PlatformConfiguration(
          "n0",
          "z0",
          UNUSED_ENDPOINT,
          UNUSED_ENDPOINT,
          List.of(),
          UNUSED_ENDPOINT,
          UNUSED_ENDPOINT,
          List.of(new PlatformConfiguration.Team("blue", 0, 0, 0, 0)),
          List.of(),
          new PlatformConfiguration.Workers(3_000_000, LEASE_MICROS, 30_000_000),
          LIMITS,
          new PlatformConfiguration.CloudLimits(6, 5_000_000),
          1000);

  private final ManualEventLoop loop = new ManualEventLoop(1_000_000_000L);
  private final Metrics metrics = new Metrics(LoggerProvider.SERVICE);
  private final TermContext context;
  private boolean refusesWrites;

  /**
   * Creates a context in which a new leader reads the records that this reader lists.
   *
   * @param reader must call back synchronously
   */
  public ContextFixture(TermContext.RecoveryReader reader) {
    HttpClient httpClient =
        (to, method, path, body, timeoutMicros, handler) -> {
          if (refusesWrites) {
            handler.handle(HttpStatus.BAD_REQUEST, new byte[0]);
          }
        };
    StateClient store = new StateClient(loop, httpClient, UNUSED_ENDPOINT, LIMITS, metrics);
    this.context =
        new TermContext(
            loop,
            PLATFORM,
            SchedulerParameters.defaults(),
            null,
            null,
            store,
            new RecordLayout(store.limits()),
            null,
            new MachineTypeCatalog(SchedulerParameters.defaults()),
            httpClient,
            metrics,
            () -> 0,
            reader,
            () -> 0,
            LoggerProvider.SERVICE,
            false,
            Optional.empty(),
            SettledCommands.UNKNOWN);
  }

  public TermContext context() {
    return context;
  }

  public long nowMicros() {
    return loop.nowMicros();
  }

  /** Advances the clock by this duration. */
  public void advance(long micros) {
    loop.advance(micros);
  }

  /**
   * Makes the state service refuse a value of this size, which lowers the limit on value sizes to
   * half of that size.
   */
  public void refuseValueOfSize(int bytes) {
    refusesWrites = true;
    context
        .store()
        .transaction(
            new Transaction().put("key", Json.object().put("v", "x".repeat(bytes))),
            StateClient.RequestPriority.URGENT,
            result -> {});
    refusesWrites = false;
  }
}
