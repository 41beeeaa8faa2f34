package plumlever.cli;

import io.undertow.server.DefaultByteBufferPool;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import plumlever.Controller;
import plumlever.concurrent.RecurringTask;
import plumlever.http.Server;
import plumlever.http.UndertowCaller;
import plumlever.http.XnioLoop;
import plumlever.metrics.Logs;
import plumlever.settings.OperatorSettings;
import plumlever.settings.PlatformConfiguration;
import plumlever.warmup.WarmUp;

/**
 * A controller with its sockets: one XNIO I/O thread that is the loop, one for leadership, and the
 * two listeners.
 */
final class Service implements AutoCloseable {
  /** Stands for "goes on until killed" where an exit code is expected. */
  static final int RUNNING = -1;

  private static final Logger LOG = LoggerFactory.getLogger(Service.class);
  private static final int BUFFER_BYTES = 8 * 1024;
  private static final int BUFFERS = 64;
  private static final long BYTES_PER_MB = 1024 * 1024;
  private static final long LAST_REQUEST_MICROS = 100_000;
  private static final int PEER_CONNECTIONS = 32;

  /**
   * Sockets kept from users and workers: calls to machines (112) and kept connections (48), up to
   * 12 each to the state service, the cloud and two peers, the peers' own, and what the process has
   * open besides.
   */
  private static final int RESERVED = 280;

  private static final int LEAST_SHARED = 32;
  private static final long LEAST_IDLE_MICROS = 12_000_000;
  private static final int IDLE_HEARTBEATS = 3;
  private static final long PEER_BODY = 512 * 1024;
  private static final int STOP_S = 3;

  private final PlatformConfiguration platform;
  private final OperatorSettings settings;
  private XnioWorker worker;
  private XnioWorker electionWorker;
  private XnioLoop loop;
  private Controller node;
  private UndertowCaller caller;
  private Server front;
  private Server back;

  Service(PlatformConfiguration platform, OperatorSettings settings) {
    this.platform = platform;
    this.settings = settings;
  }

  int run() {
    try {
      start();
    } catch (RuntimeException | java.io.IOException e) {
      LOG.error("could not start: {}", e.toString());
      LOG.debug("could not start", e);
      close();
      return 1;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::close, "stop"));
    return RUNNING;
  }

  void start() throws java.io.IOException {
    worker = worker("plumlever");
    electionWorker = worker("office");
    loop = new XnioLoop(worker.getIoThread());
    caller =
        new UndertowCaller(
            loop, worker.getIoThread(), new DefaultByteBufferPool(false, BUFFER_BYTES, BUFFERS, 4));
    XnioLoop electionLoop = new XnioLoop(electionWorker.getIoThread());
    UndertowCaller electionCaller =
        new UndertowCaller(
            electionLoop,
            electionWorker.getIoThread(),
            new DefaultByteBufferPool(false, BUFFER_BYTES, 8, 1));
    node =
        new Controller(
            loop,
            caller,
            electionLoop,
            electionCaller,
            platform,
            settings,
            new SplittableRandom().nextLong(),
            Logs.SERVICE);
    int users = sharedConnections(platform);
    long idleMicros =
        Math.max(LEAST_IDLE_MICROS, IDLE_HEARTBEATS * platform.workers().heartbeatMicros());
    front =
        new Server(
            worker,
            platform.bind(),
            users,
            idleMicros,
            Server.MAX_BODY,
            (method, path, body, out) -> node.router().handle(method, path, body, out));
    back =
        new Server(
            worker,
            platform.peerBind(),
            PEER_CONNECTIONS,
            idleMicros,
            PEER_BODY,
            (method, path, body, out) -> node.peer(method, path, body, out));
    back.start();
    front.start();
    node.metrics().gauge("connections", front::connections);
    node.metrics().gauge("connections_most", () -> users);
    node.metrics()
        .gauge(
            "heap_mb",
            () ->
                (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory())
                    / BYTES_PER_MB);
    WarmUp warmUp =
        new WarmUp(
            loop,
            platform,
            settings.parameters(),
            node::latenessMicros,
            () -> node.leader() != null);
    node.metrics()
        .gauge(
            "cpu_ms",
            () ->
                ProcessHandle.current()
                    .info()
                    .totalCpuDuration()
                    .map(Duration::toMillis)
                    .orElse(-1L));
    loop.execute(
        () -> {
          node.start();
          new RecurringTask("warm-up", loop, warmUp::turn).start();
        });
    LOG.info(
        "{} serves {} and {}; aims: {}",
        platform.label(),
        platform.bind(),
        platform.peerBind(),
        platform.objectives().stream()
            .map(PlatformConfiguration.Objective::kind)
            .distinct()
            .toList());
  }

  static XnioWorker worker(String name) throws java.io.IOException {
    return Xnio.getInstance()
        .createWorker(
            OptionMap.builder()
                .set(Options.WORKER_NAME, name)
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .getMap());
  }

  /** Connections that users and workers share. */
  static int sharedConnections(PlatformConfiguration platform) {
    return Math.max(LEAST_SHARED, platform.socketLimit() - RESERVED);
  }

  int port() {
    return front.port();
  }

  /**
   * Orderly: no new requests, leadership given up so that a successor need not wait, then the
   * sockets.
   */
  @Override
  public void close() {
    if (node != null) {
      CountDownLatch stopped = new CountDownLatch(1);
      loop.execute(
          () -> {
            node.close();
            // The last request, which ends the lease, gets a moment to go out.
            loop.after(LAST_REQUEST_MICROS, stopped::countDown);
          });
      try {
        if (!stopped.await(STOP_S, TimeUnit.SECONDS)) {
          LOG.warn("stopped without the orderly end");
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (front != null) {
      front.close();
    }
    if (back != null) {
      back.close();
    }
    if (worker != null) {
      worker.shutdownNow();
    }
    if (electionWorker != null) {
      electionWorker.shutdownNow();
    }
  }
}
