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
import plumlever.http.UndertowCaller;
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
final class LoadStand {
  private static final int STATE = 1;
  private static final int CLOUD = 2;
  private static final int WORKERS = 3;
  private static final int FRONT = 100;
  private static final int BACK = 200;
  private static final long TURN_MICROS = 1_000;

  private final XnioWorker worker;
  private final XnioLoop loop;
  private final SimulatedCluster cluster;
  private final Map<String, UndertowCaller> callers = new HashMap<>();
  private final Map<Endpoint, Server> listeners = new HashMap<>();
  private final FakeUsers users;
  private final double jobsPerS;
  private final int port;
  private long openedMicros;
  private double submitted;

  private LoadStand(int controllers, int machines, double jobsPerS, int port) throws IOException {
    this.port = port;
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
    Set<String> names = new LinkedHashSet<>();
    for (int i = 0; i < controllers; i++) {
      names.add("n" + i);
    }
    cluster =
        new SimulatedCluster(
            1,
            List.of(
                new PlatformConfiguration.Team("red", 0, 0, 0, 0),
                new PlatformConfiguration.Team("blue", 0, 0, 0, 0)),
            names);
    cluster.cloud.most = machines;
    cluster.workerAt =
        id ->
            new Endpoint(
                "127.1." + number(id) / 250 + "." + (number(id) % 250 + 1), port + WORKERS);
    for (int i = 0; i < controllers; i++) {
      Endpoint real = new Endpoint("127.0.0.1", port + FRONT + i);
      cluster.network.services.put(
          new Endpoint("n" + i, 1),
          (from, method, path, body, reply) ->
              callers
                  .computeIfAbsent(
                      from,
                      k ->
                          new UndertowCaller(
                              loop,
                              worker.getIoThread(),
                              new DefaultByteBufferPool(false, 8192, 64, 4)))
                  .call(
                      real,
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

  private static int number(String id) {
    return Integer.parseInt(id.substring(2));
  }

  private Server listen(Endpoint at, SimulatedNetwork.Service service) {
    Server server =
        new Server(
            worker,
            at,
            4_096,
            60_000_000,
            8 << 20,
            (method, path, body, out) ->
                service.handle(
                    "n0",
                    method,
                    path,
                    body.length == 0 ? null : new String(body, StandardCharsets.UTF_8),
                    (status, text) -> out.send(status, text)));
    server.start();
    return server;
  }

  private void turn() {
    long now = loop.nowMicros();
    cluster.turnTo(now - openedMicros + 1_000_000_000L);
    for (submitted += jobsPerS * TURN_MICROS / 1e6; submitted >= 1; submitted--) {
      users.submit(20, 2, 20, false);
    }
    for (Endpoint endpoint : List.copyOf(cluster.network.services.keySet())) {
      if (endpoint.port() == port + WORKERS && !listeners.containsKey(endpoint)) {
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
    loop.after(TURN_MICROS, this::turn);
  }

  private void open() {
    openedMicros = loop.nowMicros();
    listen(new Endpoint("127.0.0.1", port + STATE), cluster.store);
    listen(new Endpoint("127.0.0.1", port + CLOUD), cluster.cloud);
    turn();
  }

  private static String settings(int controller, int controllers, int port) {
    StringBuilder request =
        new StringBuilder(
            "label = \"n"
                + controller
                + "\"\narea = \"z\"\nbind = \"127.0.0.1:"
                + (port + FRONT + controller)
                + "\"\nback = \"127.0.0.1:"
                + (port + BACK + controller)
                + "\"\n");
    for (int j = 0; j < controllers; j++) {
      if (j != controller) {
        request
            .append("[[seeds]]\nlabel = \"n")
            .append(j)
            .append("\"\narea = \"z\"\nendpoint = \"127.0.0.1:")
            .append(port + BACK + j)
            .append("\"\n");
      }
    }
    request
        .append("[outside]\ncloud = \"127.0.0.1:")
        .append(port + CLOUD)
        .append("\"\nstate = \"127.0.0.1:")
        .append(port + STATE)
        .append("\"\n[deployment]\ncount = ")
        .append(controllers)
        .append("\nzones = [\"a\", \"b\"]\nskew_ms = 25.0\n");
    for (String team : List.of("red", "blue")) {
      request
          .append("[[deployment.teams]]\nname = \"")
          .append(team)
          .append("\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n");
    }
    return request
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
    Path folder = Path.of(args[0]);
    int controllers = Integer.parseInt(args[1]);
    int port = Integer.parseInt(args[5]);
    Files.createDirectories(folder);
    for (int i = 0; i < controllers; i++) {
      Files.writeString(folder.resolve("n" + i + ".toml"), settings(i, controllers, port));
    }
    LoadStand stand =
        new LoadStand(controllers, Integer.parseInt(args[2]), Double.parseDouble(args[3]), port);
    stand.loop.execute(stand::open);
    Thread.sleep(Long.parseLong(args[4]) * 1_000);
    System.out.println(
        "machines "
            + stand.cluster.cloud.machines.size()
            + ", violations "
            + stand.cluster.invariants.broken);
    System.exit(0);
  }
}
