package plumlever.sim;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import plumlever.http.Server;
import plumlever.http.UndertowHttpClient;
import plumlever.http.XnioLoop;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;

/**
 * Serves the test emulators of the state service, the cloud and the workers on loopback addresses,
 * so that controllers can run as separate processes under a known load and be profiled with the
 * tools of the JDK. Not a test; see docs/limits.md for the measurements made with this program.
 *
 * <p>Arguments: directory for the settings files of the controllers, number of controllers, number
 * of machines (half with four cores, half with sixteen), jobs per second (of twenty tasks each),
 * duration in seconds, and first port. Several instances can run side by side on different ports.
 */
final class LoadTestServer {
  private static final int STATE_PORT_OFFSET = 1;
  private static final int CLOUD_PORT_OFFSET = 2;
  private static final int WORKER_PORT_OFFSET = 3;
  private static final int USER_PORT_OFFSET = 100;
  private static final int PEER_PORT_OFFSET = 200;
  private static final long STEP_MICROS = 1_000;

  private final XnioWorker worker;
  private final XnioLoop loop;
  private final SimulatedCluster cluster;
  private final Map<String, UndertowHttpClient> httpClients = new HashMap<>();
  private final Map<Endpoint, Server> listeners = new HashMap<>();
  private final FakeUsers users;
  private final double jobsPerS;
  private final int firstPort;
  private long startedMicros;
  private double submitted;

  private LoadTestServer(int controllers, int machines, double jobsPerS, int firstPort)
      throws IOException {
    this.firstPort = firstPort;
    this.jobsPerS = jobsPerS;
    worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    loop = new XnioLoop(worker.getIoThread());
    Set<String> labels = new LinkedHashSet<>();
    for (int i = 0; i < controllers; i++) {
      labels.add("n" + i);
    }
    cluster =
        new SimulatedCluster(
            1,
            List.of(
                new PlatformConfiguration.Team("red", 0, 0, 0, 0),
                new PlatformConfiguration.Team("blue", 0, 0, 0, 0)),
            labels);
    cluster.cloud.capacity = machines;
    cluster.workerEndpoint =
        id ->
            new Endpoint(
                "127.1." + machineNumber(id) / 250 + "." + (machineNumber(id) % 250 + 1),
                firstPort + WORKER_PORT_OFFSET);
    for (int i = 0; i < controllers; i++) {
      Endpoint userEndpoint = new Endpoint("127.0.0.1", firstPort + USER_PORT_OFFSET + i);
      cluster.network.services.put(
          new Endpoint("n" + i, 1),
          (from, method, path, body, reply) ->
              httpClients
                  .computeIfAbsent(
                      from,
                      k ->
                          new UndertowHttpClient(
                              loop,
                              worker.getIoThread(),
                              new DefaultByteBufferPool(false, 8192, 64, 4)))
                  .call(
                      userEndpoint,
                      method,
                      path,
                      body == null ? null : body.getBytes(StandardCharsets.UTF_8),
                      5_000_000,
                      (status, data) -> {
                        if (status != 0) {
                          reply.send(status, new String(data, StandardCharsets.UTF_8));
                        }
                      }));
    }
    users = new FakeUsers(cluster);
  }

  private static int machineNumber(String id) {
    return Integer.parseInt(id.substring(2));
  }

  private Server listen(Endpoint endpoint, SimulatedNetwork.Service service) {
    Server server =
        new Server(
            worker,
            endpoint,
            4_096,
            60_000_000,
            8 << 20,
            (method, path, body, response) ->
                service.handle(
                    "n0",
                    method,
                    path,
                    body.length == 0 ? null : new String(body, StandardCharsets.UTF_8),
                    (status, text) -> response.send(status, text)));
    server.start();
    return server;
  }

  private void step() {
    long now = loop.nowMicros();
    // The simulated clock starts at 1,000 s.
    cluster.advanceTo(now - startedMicros + 1_000_000_000L);
    for (submitted += jobsPerS * STEP_MICROS / 1e6; submitted >= 1; submitted--) {
      users.submit(20, 2, 20, false);
    }
    for (Endpoint endpoint : List.copyOf(cluster.network.services.keySet())) {
      if (endpoint.port() == firstPort + WORKER_PORT_OFFSET && !listeners.containsKey(endpoint)) {
        listeners.put(
            endpoint,
            listen(
                endpoint,
                (from, method, path, body, reply) -> {
                  SimulatedNetwork.Service service = cluster.network.services.get(endpoint);
                  if (service != null) {
                    service.handle(from, method, path, body, reply);
                  }
                }));
      }
    }
    loop.after(STEP_MICROS, this::step);
  }

  private void start() {
    startedMicros = loop.nowMicros();
    listen(new Endpoint("127.0.0.1", firstPort + STATE_PORT_OFFSET), cluster.store);
    listen(new Endpoint("127.0.0.1", firstPort + CLOUD_PORT_OFFSET), cluster.cloud);
    step();
  }

  private static String settings(int controller, int controllers, int firstPort) {
    StringBuilder toml =
        new StringBuilder(
            "label = \"n"
                + controller
                + "\"\narea = \"z\"\nbind = \"127.0.0.1:"
                + (firstPort + USER_PORT_OFFSET + controller)
                + "\"\nback = \"127.0.0.1:"
                + (firstPort + PEER_PORT_OFFSET + controller)
                + "\"\n");
    for (int j = 0; j < controllers; j++) {
      if (j != controller) {
        toml.append("[[seeds]]\nlabel = \"n")
            .append(j)
            .append("\"\narea = \"z\"\nendpoint = \"127.0.0.1:")
            .append(firstPort + PEER_PORT_OFFSET + j)
            .append("\"\n");
      }
    }
    toml.append("[outside]\ncloud = \"127.0.0.1:")
        .append(firstPort + CLOUD_PORT_OFFSET)
        .append("\"\nstate = \"127.0.0.1:")
        .append(firstPort + STATE_PORT_OFFSET)
        .append("\"\n[deployment]\ncount = ")
        .append(controllers)
        .append("\nzones = [\"a\", \"b\"]\nskew_ms = 25.0\n");
    for (String team : List.of("red", "blue")) {
      toml.append("[[deployment.teams]]\nname = \"")
          .append(team)
          .append("\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n");
    }
    return toml
        + """
        [[deployment.objectives]]
        kind = "wait"
        class = "c0"
        within_s = 8.0
        share = 0.9
        [deployment.workers]
        report_s = 3.0
        lease_s = 20.0
        cancel_s = 40.0
        [deployment.state]
        rps = 200.0
        write_rps = 40.0
        value_kb = 4.0
        txn_ops = 8
        [deployment.cloud]
        rps = 6.0
        list_lag_s = 3.0
        [deployment.quota]
        cpu_share = 1.0
        memory_mb = 194.0
        fd_limit = 2000
        """;
  }

  public static void main(String[] args) throws IOException, InterruptedException {
    Path directory = Path.of(args[0]);
    int controllers = Integer.parseInt(args[1]);
    int firstPort = Integer.parseInt(args[5]);
    Files.createDirectories(directory);
    for (int i = 0; i < controllers; i++) {
      Files.writeString(directory.resolve("n" + i + ".toml"), settings(i, controllers, firstPort));
    }
    LoadTestServer server =
        new LoadTestServer(
            controllers, Integer.parseInt(args[2]), Double.parseDouble(args[3]), firstPort);
    server.loop.execute(server::start);
    Thread.sleep(Long.parseLong(args[4]) * 1_000);
    System.out.println(
        "machines "
            + server.cluster.cloud.machines.size()
            + ", violations "
            + server.cluster.invariants.violations);
    System.exit(0);
  }
}
