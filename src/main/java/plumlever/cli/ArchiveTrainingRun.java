package plumlever.cli;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.xnio.XnioWorker;
import plumlever.http.Responder;
import plumlever.http.Server;
import plumlever.http.UndertowHttpClient;
import plumlever.http.XnioLoop;
import plumlever.settings.Endpoint;
import plumlever.settings.OperatorSettings;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;
import plumlever.settings.SettingsException;
import plumlever.warmup.WarmUp;
import plumlever.warmup.WarmUpServices;
import plumlever.wire.HttpStatus;
import plumlever.wire.ProtocolPath;

/**
 * Training run for the class-data archive. Starts a controller on loopback with emulated external
 * services and lets the controller lead for a few seconds, so that the build can archive the
 * classes that startup and leadership use. A class that is not in the archive is loaded, linked and
 * verified at its first use, which takes seconds in total on a small share of a processor. The run
 * sends no traffic outside this process.
 */
final class ArchiveTrainingRun {
  private static final String SETTINGS =
      """
      label = "training-run"
      area = "here"
      bind = "127.0.0.1:0"
      back = "127.0.0.1:0"
      [outside]
      cloud = "127.0.0.1:%1$d"
      state = "127.0.0.1:%1$d"
      [deployment]
      count = 1
      [[deployment.teams]]
      name = "team"
      cpus = 1.0
      cpus_max = 100.0
      gpus = 0.0
      gpus_max = 0.0
      [deployment.workers]
      report_s = 3.0
      lease_s = 20.0
      cancel_s = 40.0
      [deployment.state]
      rps = 100.0
      write_rps = 20.0
      value_kb = 4.0
      txn_ops = 8
      [deployment.cloud]
      rps = 5.0
      list_lag_s = 3.0
      [deployment.quota]
      fd_limit = 256
      """;

  private static final String JOB =
      """
      {"uid":"job-2","jobclass":"c","owner":"team","shape":"sweep","urgency":"high","pieces":6,"cores":1.0,
      "accelerators":0.0,"memory_gb":1.0,"bundle":"img","image_gb":1.0,"flavors":null,"site":null,"one_zone":false,
      "spread":false,"loaners":true,"expect_s":2.0,"snapshot_every_s":0.0,"snapshot_s":0.0,"due_s":60.0}
      """;
  private static final long LEADER_RUN_MS = 7_000;
  private static final int CONNECT_TIMEOUT_MS = 3_000;
  private static final int READ_TIMEOUT_MS = 6_000;
  private static final String LOOPBACK = "127.0.0.1";
  private static final String CLASS_SUFFIX = ".class";

  private ArchiveTrainingRun() {}

  /** Runs the controller and returns the exit code. */
  static int run() {
    try {
      PlatformConfiguration platform;
      try (Emulators emulators = new Emulators()) {
        platform = runLeader(emulators);
      }
      WarmUp.runAll(platform, SchedulerParameters.defaults());
      return ExitCode.OK;
    } catch (IOException | SettingsException e) {
      System.err.println("plumlever: the training run for the class-data archive failed: " + e);
      return ExitCode.FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    }
  }

  private static PlatformConfiguration runLeader(Emulators emulators)
      throws IOException, SettingsException, InterruptedException {
    Path file = Files.createTempFile("plumlever", ".toml");
    try {
      Files.writeString(file, String.format(SETTINGS, emulators.port()));
      Main.run(new String[] {"--config", file.toString(), "--check"});
      loadControllerClasses();
      PlatformConfiguration platform = PlatformConfiguration.load(file);
      try (Service service = new Service(platform, OperatorSettings.defaults())) {
        service.start();
        emulateUsers(service.port(), emulators);
      }
      return platform;
    } finally {
      file.toFile().delete();
    }
  }

  private static void emulateUsers(int port, Emulators emulators)
      throws IOException, InterruptedException {
    String base = "http://" + LOOPBACK + ":" + port;
    get(base + ProtocolPath.HEALTH);
    get(base + ProtocolPath.SUBMISSIONS + "/job-1");
    post(base + ProtocolPath.SUBMISSIONS, "{\"uid\":\"job-1\"}");
    post(base + ProtocolPath.SUBMISSIONS, JOB);
    emulators.sendHeartbeatsTo(new Endpoint(LOOPBACK, port));
    Thread.sleep(LEADER_RUN_MS);
    get(base + ProtocolPath.SUBMISSIONS + "/job-2");
    post(base + ProtocolPath.SUBMISSIONS + "/job-2" + ProtocolPath.CANCEL_SUFFIX, "");
  }

  /** Emulates the state service, the cloud and one machine on loopback. */
  private static final class Emulators implements AutoCloseable {
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int MAX_BUFFERS = 8;
    private static final int MAX_CONNECTIONS = 64;
    private static final long IDLE_TIMEOUT_MICROS = 60_000_000;
    private static final long MAX_BODY_BYTES = 1 << 20;
    private static final long HEARTBEAT_TIMEOUT_MICROS = 2_000_000;
    private static final long HEARTBEAT_INTERVAL_MICROS = 200_000;

    private final XnioWorker worker = Service.createWorker("emulators");
    private final XnioLoop loop = new XnioLoop(worker.getIoThread());
    private final UndertowHttpClient httpClient =
        new UndertowHttpClient(
            loop,
            worker.getIoThread(),
            new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_BUFFERS, 1));
    private final Server server;
    private final WarmUpServices services;
    private final String machine;

    Emulators() throws IOException {
      server =
          new Server(
              worker,
              new Endpoint(LOOPBACK, 0),
              MAX_CONNECTIONS,
              IDLE_TIMEOUT_MICROS,
              MAX_BODY_BYTES,
              this::handle);
      server.start();
      services = new WarmUpServices(loop, 1, LOOPBACK + ":" + server.port());
      machine = services.machines().get(0);
    }

    int port() {
      return server.port();
    }

    private void handle(String method, String path, byte[] body, Responder responder) {
      if (path.equals(ProtocolPath.COMMANDS)) {
        services.executeCommands(machine, new String(body, StandardCharsets.UTF_8));
        responder.send(
            HttpStatus.OK, new String(services.heartbeat(machine), StandardCharsets.UTF_8));
      } else {
        services.handle(method, path, body, responder::send);
      }
    }

    /** Starts to send the heartbeats of the machine to this controller. */
    void sendHeartbeatsTo(Endpoint controller) {
      loop.execute(() -> sendHeartbeat(controller));
    }

    private void sendHeartbeat(Endpoint controller) {
      httpClient.call(
          controller,
          "POST",
          ProtocolPath.HEARTBEAT,
          services.heartbeat(machine),
          HEARTBEAT_TIMEOUT_MICROS,
          (status, response) -> {
            if (status == HttpStatus.OK) {
              services.executeCommands(machine, new String(response, StandardCharsets.UTF_8));
            }
            loop.after(HEARTBEAT_INTERVAL_MICROS, () -> sendHeartbeatsTo(controller));
          });
    }

    @Override
    public void close() {
      server.close();
      worker.shutdownNow();
    }
  }

  /**
   * Loads all classes of the controller. The archive then also holds the classes that only a leader
   * uses, so a newly elected leader does not have to load them.
   */
  private static void loadControllerClasses() throws IOException {
    Path jar =
        Path.of(
            ArchiveTrainingRun.class.getProtectionDomain().getCodeSource().getLocation().getPath());
    if (!Files.isRegularFile(jar)) {
      return;
    }
    try (JarFile jarFile = new JarFile(jar.toFile())) {
      for (JarEntry entry : Collections.list(jarFile.entries())) {
        if (isControllerClass(entry.getName())) {
          load(entry.getName());
        }
      }
    }
  }

  private static boolean isControllerClass(String entryName) {
    return entryName.startsWith("plumlever/")
        && !entryName.startsWith("plumlever/drill/")
        && !entryName.startsWith("plumlever/sharing/")
        && entryName.endsWith(CLASS_SUFFIX);
  }

  private static void load(String entryName) throws IOException {
    String path = entryName.substring(0, entryName.length() - CLASS_SUFFIX.length());
    try {
      Class.forName(path.replace('/', '.'));
    } catch (ClassNotFoundException e) {
      throw new IOException("cannot load class " + entryName, e);
    }
  }

  private static void get(String url) throws IOException {
    HttpURLConnection connection = connection(url);
    connection.getResponseCode();
    connection.disconnect();
  }

  private static void post(String url, String body) throws IOException {
    HttpURLConnection connection = connection(url);
    connection.setRequestMethod("POST");
    connection.setDoOutput(true);
    try (OutputStream out = connection.getOutputStream()) {
      out.write(body.getBytes(StandardCharsets.UTF_8));
    }
    connection.getResponseCode();
    connection.disconnect();
  }

  private static HttpURLConnection connection(String url) throws IOException {
    HttpURLConnection connection = (HttpURLConnection) URI.create(url).toURL().openConnection();
    connection.setConnectTimeout(CONNECT_TIMEOUT_MS);
    connection.setReadTimeout(READ_TIMEOUT_MS);
    return connection;
  }
}
