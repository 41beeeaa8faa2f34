package plumlever.drill;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import plumlever.http.Server;
import plumlever.http.UndertowHttpClient;
import plumlever.http.XnioLoop;
import plumlever.settings.Endpoint;
import plumlever.sharing.OwnerRecord;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;

/**
 * An end-to-end drill of machine sharing. Three controllers of three shards run as separate
 * processes against emulators of the state service, the cloud, the workers and the users. The load
 * shifts from shard to shard, so that the shards transfer machines to each other. In addition the
 * drill requests transfers of machines with running tasks, and kills or pauses controllers during
 * such transfers.
 *
 * <p>The drill passes if every job is done, each result was produced exactly once, no two attempts
 * of a task ran at the same time, no task was restarted unless a lease expired, all transfers are
 * settled, and there were at least as many transfers as the plan requires.
 */
public final class SharingDrill {
  /**
   * The parameters of a drill.
   *
   * @param seconds duration of the load in seconds
   * @param machines number of machines in the pool
   * @param seed seed of all random choices
   * @param shapes files with templates of the jobs; empty for the built-in templates
   * @param failures whether controllers are killed and paused
   * @param minTransfers minimum number of transfers for the drill to pass
   */
  public record Plan(
      int seconds,
      int machines,
      long seed,
      List<JobShapeFile> shapes,
      boolean failures,
      int minTransfers) {}

  /** A file with templates of the jobs that a drill submits. */
  public record JobShapeFile(Path path) {}

  /** The result of a drill, with the lines of its report. */
  public record Outcome(boolean passed, List<String> lines) {}

  private static final List<String> SHARDS = List.of("east", "north", "west");
  private static final int BUFFER_BYTES = 8 * 1024;
  private static final int BUFFERS = 64;
  private static final int CONNECTIONS = 2_048;
  private static final long IDLE_MICROS = 60_000_000;
  private static final long HEARTBEAT_MICROS = 1_500_000;
  private static final long LEASE_MICROS = 20_000_000;
  private static final long START_UP_MICROS = 30_000_000;
  private static final long TICK_MICROS = 500_000;
  private static final long PHASE_MICROS = 25_000_000;
  private static final long SUBMIT_INTERVAL_MICROS = 4_000_000;
  private static final long FAILURE_INTERVAL_MICROS = 40_000_000;
  private static final long TRANSFERS_PER_RUN = 14;
  private static final long MIN_TRANSFER_INTERVAL_MICROS = 8_000_000;
  private static final long PAUSE_MICROS = 4_000_000;
  private static final long RESTART_DELAY_MICROS = 2_000_000;
  private static final long CALL_TIMEOUT_MICROS = 2_000_000;
  private static final double LOAD_FACTOR = 1.1;
  private static final double CORES_PER_MACHINE = 4;
  private static final int SETTLE_TIMEOUT_S = 150;
  private static final int MILLIS = 1_000;

  private final Plan plan;
  private final List<JobShape> shapes;
  private final SplittableRandom random;
  private final Path directory;
  private final XnioWorker worker;
  private final XnioLoop loop;
  private final UndertowHttpClient httpClient;
  private final TaskResults results = new TaskResults();
  private final TransferStatistics transfers;
  private final StateServiceEmulator state;
  private final CloudEmulator cloud;
  private final List<Server> servers = new ArrayList<>();
  private final List<ControllerProcess> controllers = new ArrayList<>();
  private final Map<String, WorkerEmulator> workers = new LinkedHashMap<>();
  private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
  private final List<String> events = new ArrayList<>();
  private DrillUsers users;
  private long loadStartMicros;
  private long nextSubmissionMicros;
  private long nextTransferMicros;
  private long nextFailureMicros;
  private long requestsBefore;

  private SharingDrill(Plan plan, List<JobShape> shapes, Path directory) throws IOException {
    this.plan = plan;
    this.shapes = shapes;
    this.directory = directory;
    this.random = new SplittableRandom(plan.seed());
    this.worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_NAME, "drill")
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .getMap());
    this.loop = new XnioLoop(worker.getIoThread());
    this.httpClient =
        new UndertowHttpClient(
            loop, worker.getIoThread(), new DefaultByteBufferPool(false, BUFFER_BYTES, BUFFERS, 4));
    this.transfers = new TransferStatistics(loop);
    this.state = new StateServiceEmulator(loop, transfers::onPut);
    this.cloud = new CloudEmulator(machine -> workers.get(machine).remove());
  }

  /** Runs the drill. The call takes the duration of the load and one or two minutes more. */
  public static Outcome run(Plan plan)
      throws IOException, InvalidMessageException, InterruptedException {
    List<JobShape> shapes = new ArrayList<>();
    for (JobShapeFile file : plan.shapes()) {
      shapes.addAll(JobShape.load(file.path()));
    }
    Path directory = Files.createTempDirectory("plumlever-drill");
    SharingDrill drill =
        new SharingDrill(plan, shapes.isEmpty() ? JobShape.builtIn() : shapes, directory);
    try {
      drill.setUp();
      drill.loop.execute(drill::start);
      return drill.outcome.join();
    } finally {
      drill.close();
    }
  }

  private void close() throws InterruptedException {
    for (ControllerProcess controller : controllers) {
      controller.terminate();
    }
    servers.forEach(Server::close);
    worker.shutdownNow();
  }

  private Server serve(Server.RequestHandler handler) {
    Server server =
        new Server(
            worker,
            new Endpoint("127.0.0.1", 0),
            CONNECTIONS,
            IDLE_MICROS,
            Server.MAX_BODY_BYTES,
            handler);
    server.start();
    servers.add(server);
    return server;
  }

  private static Endpoint freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return new Endpoint("127.0.0.1", socket.getLocalPort());
    }
  }

  private void setUp() throws IOException {
    Server stateServer = serve(state::handle);
    Server cloudServer = serve(cloud::handle);
    for (int i = 0; i < SHARDS.size(); i++) {
      controllers.add(new ControllerProcess("lever-" + i, freePort(), freePort(), directory));
    }
    for (ControllerProcess controller : controllers) {
      Files.writeString(
          controller.platformFile(),
          DrillFiles.platform(
              controller,
              controllers,
              stateServer.port(),
              cloudServer.port(),
              shapes,
              HEARTBEAT_MICROS,
              LEASE_MICROS));
    }
    Files.writeString(
        controllers.get(0).operatorsFile(),
        DrillFiles.sharing(SHARDS, controllers, plan.machines()));
    for (ControllerProcess controller : controllers) {
      controller.start();
    }
  }

  /** Starts users and workers. This method and all methods below run on the event loop. */
  private void start() {
    Map<String, Endpoint> endpointByLabel = new HashMap<>();
    List<Endpoint> userEndpoints = new ArrayList<>();
    for (ControllerProcess controller : controllers) {
      endpointByLabel.put(controller.label(), controller.userEndpoint());
      userEndpoints.add(controller.userEndpoint());
    }
    users = new DrillUsers(loop, httpClient, userEndpoints, results, random);
    WorkerEmulator.Environment environment =
        new WorkerEmulator.Environment(
            loop,
            httpClient,
            userEndpoints,
            endpointByLabel,
            results,
            HEARTBEAT_MICROS,
            LEASE_MICROS);
    for (int i = 1; i <= plan.machines(); i++) {
      String machine = String.format("i-%06d", i);
      Server server =
          serve((method, path, body, out) -> workers.get(machine).handle(method, path, body, out));
      String endpoint = "127.0.0.1:" + server.port();
      String zone = i % 2 == 0 ? "a" : "b";
      cloud.add(machine, endpoint, zone);
      workers.put(
          machine,
          new WorkerEmulator(environment, machine, zone, endpoint, i % controllers.size()));
    }
    loop.after(START_UP_MICROS, this::startLoad);
  }

  private void startLoad() {
    loadStartMicros = loop.nowMicros();
    nextTransferMicros = loadStartMicros + PHASE_MICROS / 2;
    nextFailureMicros = loadStartMicros + FAILURE_INTERVAL_MICROS;
    requestsBefore = state.requests();
    tick();
  }

  private void tick() {
    long now = loop.nowMicros();
    try {
      if (now - loadStartMicros >= plan.seconds() * 1_000_000L) {
        finishIfSettled(now);
        return;
      }
      if (now >= nextSubmissionMicros) {
        nextSubmissionMicros = now + SUBMIT_INTERVAL_MICROS;
        submit(now);
      }
      if (now >= nextTransferMicros) {
        nextTransferMicros =
            now
                + Math.max(
                    MIN_TRANSFER_INTERVAL_MICROS, plan.seconds() * 1_000_000L / TRANSFERS_PER_RUN);
        transferBusiestMachine();
      }
      if (plan.failures() && now >= nextFailureMicros) {
        nextFailureMicros = now + FAILURE_INTERVAL_MICROS;
        injectFailure();
      }
    } catch (IOException e) {
      results.reportViolation("could not signal or start a controller process: " + e);
    }
    loop.after(TICK_MICROS, this::tick);
  }

  /** Submits jobs to one shard at a time; they need more machines than the share of that shard. */
  private void submit(long now) {
    int shard = (int) ((now - loadStartMicros) / PHASE_MICROS % SHARDS.size());
    double cores =
        LOAD_FACTOR * CORES_PER_MACHINE * plan.machines() * SUBMIT_INTERVAL_MICROS / PHASE_MICROS;
    while (cores > 0) {
      JobShape shape = shapes.get(random.nextInt(shapes.size()));
      users.submit(shape, controllers.get(shard).userEndpoint());
      cores -= shape.totalCores();
    }
  }

  /** Asks the owner of the machine with the most running tasks to transfer it to another shard. */
  private void transferBusiestMachine() {
    workers.entrySet().stream()
        .max(Comparator.comparingInt(entry -> entry.getValue().running()))
        .map(Map.Entry::getKey)
        .ifPresent(this::requestTransfer);
  }

  private void requestTransfer(String machine) {
    int owner = ownerOf(machine);
    if (owner < 0) {
      return;
    }
    int to = (owner + 1 + random.nextInt(SHARDS.size() - 1)) % SHARDS.size();
    String body = Json.write(Json.object().put("machine", machine).put("to", SHARDS.get(to)));
    httpClient.call(
        controllers.get(owner).peerEndpoint(),
        "POST",
        "/transfer",
        body.getBytes(StandardCharsets.UTF_8),
        CALL_TIMEOUT_MICROS,
        (status, response) -> {
          if (status != HttpStatus.OK) {
            events.add(machine + " was not transferred to " + SHARDS.get(to) + ": HTTP " + status);
          }
        });
  }

  private int ownerOf(String machine) {
    for (var entry : state.under("pool/owners/").entrySet()) {
      try {
        if (OwnerRecord.keyOf(machine).equals("/" + entry.getKey())) {
          return OwnerRecord.parse(entry.getValue())
              .holder(machine)
              .map(SHARDS::indexOf)
              .orElse(-1);
        }
      } catch (InvalidMessageException e) {
        results.reportViolation("unreadable owner record: " + e.getMessage());
      }
    }
    return -1;
  }

  /** Requests a transfer, and kills or pauses a random controller during the transfer. */
  private void injectFailure() throws IOException {
    ControllerProcess controller = controllers.get(random.nextInt(controllers.size()));
    transferBusiestMachine();
    if (!controller.isAlive()) {
      return;
    }
    if (random.nextBoolean()) {
      controller.kill();
      events.add(controller.label() + " was killed");
      loop.after(RESTART_DELAY_MICROS, () -> restart(controller));
    } else {
      controller.pause();
      events.add(controller.label() + " was paused for " + PAUSE_MICROS / 1_000 + " ms");
      loop.after(PAUSE_MICROS, () -> resume(controller));
    }
  }

  private void restart(ControllerProcess controller) {
    try {
      controller.start();
    } catch (IOException e) {
      results.reportViolation(controller.label() + " could not be restarted: " + e);
    }
  }

  private void resume(ControllerProcess controller) {
    try {
      controller.resume();
    } catch (IOException e) {
      results.reportViolation(controller.label() + " could not be resumed: " + e);
    }
  }

  private void finishIfSettled(long now) {
    boolean settled = state.under("pool/transfers/").isEmpty();
    boolean timedOut = now - loadStartMicros > (plan.seconds() + SETTLE_TIMEOUT_S) * 1_000_000L;
    if (timedOut || (users.unfinishedJobs().isEmpty() && settled)) {
      outcome.complete(evaluate(settled));
    } else {
      loop.after(TICK_MICROS, this::tick);
    }
  }

  private Outcome evaluate(boolean settled) {
    List<String> failures = new ArrayList<>(results.violations());
    users.unfinishedJobs().forEach(uid -> failures.add(uid + " is not done"));
    if (results.completedTasks() != users.submittedTasks()) {
      failures.add(results.completedTasks() + " results for " + users.submittedTasks() + " tasks");
    }
    if (results.duplicateResults() > 0) {
      failures.add(results.duplicateResults() + " results were produced more than once");
    }
    if (results.restartedTasks() > 0 && results.expiredLeases() == 0) {
      failures.add(results.restartedTasks() + " tasks were restarted although no lease expired");
    }
    if (transfers.count() < plan.minTransfers()) {
      failures.add(transfers.count() + " transfers, " + plan.minTransfers() + " are required");
    }
    if (!settled) {
      failures.add("transfers are not settled: " + state.under("pool/transfers/").keySet());
    }
    List<String> lines = new ArrayList<>();
    lines.add("seed " + plan.seed() + ", " + plan.seconds() + " s of load, logs in " + directory);
    lines.add(
        users.submittedJobs()
            + " jobs, "
            + users.submittedTasks()
            + " tasks, "
            + results.completedTasks()
            + " results, "
            + results.duplicateResults()
            + " duplicate results, "
            + results.restartedTasks()
            + " tasks restarted, "
            + results.expiredLeases()
            + " leases expired");
    lines.add(
        transfers.count()
            + " transfers, "
            + transfers.withTasks()
            + " of machines with tasks ("
            + transfers.transferredTasks()
            + " tasks), from offer to new owner "
            + transfers.medianMicros() / MILLIS
            + " ms median, "
            + transfers.maxMicros() / MILLIS
            + " ms max");
    lines.add(
        "state service: "
            + (state.requests() - requestsBefore)
            + " requests, "
            + state.changesMade()
            + " changes, "
            + state.bytesUnder("pool/owners/")
            + " bytes of owner records; "
            + cloud.returnedMachines()
            + " machines returned");
    lines.addAll(events);
    failures.forEach(reason -> lines.add("failed: " + reason));
    return new Outcome(failures.isEmpty(), lines);
  }
}
