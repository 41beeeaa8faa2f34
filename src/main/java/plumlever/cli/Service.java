package plumlever.cli;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
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
import plumlever.http.UndertowHttpClient;
import plumlever.http.XnioLoop;
import plumlever.metrics.LoggerProvider;
import plumlever.metrics.Metrics;
import plumlever.settings.OperatorSettings;
import plumlever.settings.PlatformConfiguration;
import plumlever.warmup.WarmUp;

/**
 * A controller process: the controller, its event loop on one XNIO I/O thread, a second I/O thread
 * for leader election, and the listeners for users and workers and for peer controllers.
 */
final class Service implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Service.class);
  private static final int BUFFER_BYTES = 8 * 1024;
  private static final int MAX_BUFFERS = 64;
  private static final int MAX_BUFFERS_PER_THREAD = 4;
  private static final int MAX_ELECTION_BUFFERS = 8;
  private static final int MAX_ELECTION_BUFFERS_PER_THREAD = 1;
  private static final long BYTES_PER_MB = 1024 * 1024;

  /** On shutdown, the time to wait for the request that revokes the leader's lease to be sent. */
  private static final long LEASE_REVOCATION_MICROS = 100_000;

  private static final int STOP_TIMEOUT_S = 3;

  /**
   * The number of file descriptors that are reserved for other uses than connections from users and
   * workers: calls to machines (112), kept-alive connections (48), up to 12 connections each to the
   * state service, the cloud and two peers, connections from peers, and other files that the
   * process has open.
   */
  private static final int RESERVED_SOCKETS = 280;

  private static final int MIN_SHARED_CONNECTIONS = 32;
  private static final int PEER_CONNECTIONS = 32;
  private static final long MAX_PEER_BODY_BYTES = 512 * 1024;

  /**
   * An idle connection is closed after this many heartbeat intervals, but not before {@link
   * #MIN_IDLE_TIMEOUT_MICROS}.
   */
  private static final int IDLE_TIMEOUT_HEARTBEATS = 3;

  private static final long MIN_IDLE_TIMEOUT_MICROS = 12_000_000;

  private final PlatformConfiguration platform;
  private final OperatorSettings settings;
  private XnioWorker worker;
  private XnioWorker electionWorker;
  private XnioLoop loop;
  private Controller controller;
  private Server userServer;
  private Server peerServer;

  Service(PlatformConfiguration platform, OperatorSettings settings) {
    this.platform = platform;
    this.settings = settings;
  }

  /** Starts the controller; returns {@link ExitCode#RUNNING}, or an exit code on failure. */
  int run() {
    try {
      start();
    } catch (RuntimeException | IOException e) {
      LOG.error("the controller failed to start: {}", e.toString());
      LOG.debug("stack trace of the failed start", e);
      close();
      return ExitCode.FAILED;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::close, "stop"));
    return ExitCode.RUNNING;
  }

  /** Starts the controller, which runs until {@link #close} is called. */
  void start() throws IOException {
    createController();
    startServers();
    registerGauges(controller.metrics());
    WarmUp warmUp =
        new WarmUp(
            loop,
            platform,
            settings.parameters(),
            controller::latenessMicros,
            () -> controller.leader().isPresent());
    loop.execute(
        () -> {
          controller.start();
          new RecurringTask("warm-up", loop, warmUp::run).start();
        });
    LOG.info(
        "controller {} listens on {} (users, workers) and {} (controllers); objectives: {}",
        platform.label(),
        platform.bind(),
        platform.peerBind(),
        platform.objectives().stream()
            .map(PlatformConfiguration.Objective::kind)
            .distinct()
            .toList());
  }

  private void createController() throws IOException {
    worker = createWorker("plumlever");
    electionWorker = createWorker("election");
    loop = new XnioLoop(worker.getIoThread());
    UndertowHttpClient httpClient =
        createHttpClient(worker, loop, MAX_BUFFERS, MAX_BUFFERS_PER_THREAD);
    XnioLoop electionLoop = new XnioLoop(electionWorker.getIoThread());
    UndertowHttpClient electionHttpClient =
        createHttpClient(
            electionWorker, electionLoop, MAX_ELECTION_BUFFERS, MAX_ELECTION_BUFFERS_PER_THREAD);
    controller =
        new Controller(
            loop,
            httpClient,
            electionLoop,
            electionHttpClient,
            platform,
            settings,
            new SplittableRandom().nextLong(),
            LoggerProvider.SERVICE);
  }

  private static UndertowHttpClient createHttpClient(
      XnioWorker worker, XnioLoop loop, int maxBuffers, int maxBuffersPerThread) {
    return new UndertowHttpClient(
        loop,
        worker.getIoThread(),
        new DefaultByteBufferPool(false, BUFFER_BYTES, maxBuffers, maxBuffersPerThread));
  }

  private void startServers() {
    long idleMicros =
        Math.max(
            MIN_IDLE_TIMEOUT_MICROS,
            IDLE_TIMEOUT_HEARTBEATS * platform.workers().heartbeatMicros());
    userServer =
        new Server(
            worker,
            platform.bind(),
            sharedConnections(platform),
            idleMicros,
            Server.MAX_BODY_BYTES,
            (method, path, body, out) -> controller.router().handle(method, path, body, out));
    peerServer =
        new Server(
            worker,
            platform.peerBind(),
            PEER_CONNECTIONS,
            idleMicros,
            MAX_PEER_BODY_BYTES,
            (method, path, body, out) -> controller.peer(method, path, body, out));
    peerServer.start();
    userServer.start();
  }

  private void registerGauges(Metrics metrics) {
    int maxConnections = sharedConnections(platform);
    metrics.gauge("connections", userServer::connections);
    metrics.gauge("connections_most", () -> maxConnections);
    metrics.gauge("connections_overdue", userServer::connectionsOverdue);
    metrics.gauge("connections_replaced", userServer::connectionsReplaced);
    metrics.gauge("heap_mb", Service::heapMb);
    metrics.gauge("cpu_ms", Service::processorMs);
  }

  private static long heapMb() {
    Runtime runtime = Runtime.getRuntime();
    return (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MB;
  }

  private static long processorMs() {
    return ProcessHandle.current().info().totalCpuDuration().map(Duration::toMillis).orElse(-1L);
  }

  /** Creates an XNIO worker with one I/O thread. */
  static XnioWorker createWorker(String name) throws IOException {
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

  /** Returns the maximum total number of open connections from users and workers. */
  static int sharedConnections(PlatformConfiguration platform) {
    return Math.max(MIN_SHARED_CONNECTIONS, platform.maxFileDescriptors() - RESERVED_SOCKETS);
  }

  /** Returns the port on which the controller listens for users and workers. */
  int port() {
    return userServer.port();
  }

  /**
   * Shuts down in order: stops the controller, which accepts no new requests and revokes the
   * leader's lease so that a successor does not wait for the lease to expire, then closes the
   * listeners and stops the I/O threads.
   */
  @Override
  public void close() {
    if (controller != null) {
      stopController();
    }
    if (userServer != null) {
      userServer.close();
    }
    if (peerServer != null) {
      peerServer.close();
    }
    if (worker != null) {
      worker.shutdownNow();
    }
    if (electionWorker != null) {
      electionWorker.shutdownNow();
    }
  }

  private void stopController() {
    CountDownLatch stopped = new CountDownLatch(1);
    loop.execute(
        () -> {
          controller.close();
          loop.after(LEASE_REVOCATION_MICROS, stopped::countDown);
        });
    try {
      if (!stopped.await(STOP_TIMEOUT_S, TimeUnit.SECONDS)) {
        LOG.warn("the controller did not stop before the shutdown timeout; closing its sockets");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
