package plumlever.cli;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
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
import plumlever.http.UndertowCaller;
import plumlever.http.XnioLoop;
import plumlever.settings.Endpoint;
import plumlever.settings.OperatorSettings;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;
import plumlever.settings.SettingsException;
import plumlever.warmup.WarmUp;
import plumlever.warmup.WarmUpServices;

/**
 * Starts a controller on loopback with emulators round it and lets it lead for a few seconds, so
 * that the build can archive the classes that a start and a term need: what is not in the archive
 * is loaded, linked and checked when it is needed, which on little processor takes seconds. Nothing
 * it does reaches beyond this process.
 */
final class ArchiveTrainingRun {
  private static final String SETTINGS =
      """
      label = "rehearsal"
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
  private static final int TERM_MS = 7_000;

  private ArchiveTrainingRun() {}

  static int run() {
    Path file = null;
    try {
      Emulators environment = new Emulators();
      file = Files.createTempFile("plumlever", ".toml");
      Files.writeString(file, String.format(SETTINGS, environment.port()));
      Main.run(new String[] {"--config", file.toString(), "--check"});
      loadOwnClasses();
      PlatformConfiguration platform = PlatformConfiguration.load(file);
      Service service = new Service(platform, OperatorSettings.defaults());
      try (service) {
        service.start();
        String base = "http://127.0.0.1:" + service.port();
        ask(base + "/up", null);
        ask(base + "/submissions/job-1", null);
        ask(base + "/submissions", "{\"uid\":\"job-1\"}");
        ask(base + "/submissions", JOB);
        environment.heartbeatTo(new Endpoint("127.0.0.1", service.port()));
        Thread.sleep(TERM_MS);
        ask(base + "/submissions/job-2", null);
        ask(base + "/submissions/job-2/abort", "");
      }
      environment.close();
      WarmUp.playAll(platform, SchedulerParameters.defaults());
      return 0;
    } catch (IOException | SettingsException e) {
      System.err.println("plumlever: the start could not be rehearsed: " + e);
      return 1;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 1;
    } finally {
      if (file != null) {
        file.toFile().delete();
      }
    }
  }

  /** The state service, the cloud and one machine, served on loopback. */
  private static final class Emulators implements AutoCloseable {
    private final XnioWorker worker = Service.worker("stand-ins");
    private final XnioLoop loop = new XnioLoop(worker.getIoThread());
    private final UndertowCaller caller =
        new UndertowCaller(
            loop, worker.getIoThread(), new DefaultByteBufferPool(false, 8 * 1024, 8, 1));
    private final Server server;
    private final WarmUpServices outside;
    private final String machine;

    Emulators() throws IOException {
      server =
          new Server(worker, new Endpoint("127.0.0.1", 0), 64, 60_000_000, 1 << 20, this::handle);
      server.start();
      outside = new WarmUpServices(loop, 1, "127.0.0.1:" + server.port());
      machine = outside.machines().get(0);
    }

    int port() {
      return server.port();
    }

    private void handle(String method, String path, byte[] body, Responder out) {
      if (path.equals("/orders")) {
        outside.command(machine, new String(body, StandardCharsets.UTF_8));
        out.send(200, new String(outside.heartbeat(machine), StandardCharsets.UTF_8));
      } else {
        outside.handle(method, path, body, out::send);
      }
    }

    /** The machine reports there from now on. */
    void heartbeatTo(Endpoint node) {
      loop.execute(
          () ->
              caller.call(
                  node,
                  "POST",
                  "/hello",
                  outside.heartbeat(machine),
                  2_000_000,
                  (status, data) -> {
                    if (status == 200) {
                      outside.command(machine, new String(data, StandardCharsets.UTF_8));
                    }
                    loop.after(200_000, () -> heartbeatTo(node));
                  }));
    }

    @Override
    public void close() {
      server.close();
      worker.shutdownNow();
    }
  }

  /**
   * A leader's classes too, which nobody needs here: taking leadership must not wait for them to
   * load.
   */
  private static void loadOwnClasses() throws IOException {
    Path jar =
        Path.of(
            ArchiveTrainingRun.class.getProtectionDomain().getCodeSource().getLocation().getPath());
    if (!Files.isRegularFile(jar)) {
      return;
    }
    try (JarFile jarFile = new JarFile(jar.toFile())) {
      for (JarEntry jarEntry : Collections.list(jarFile.entries())) {
        String name = jarEntry.getName();
        if (name.startsWith("plumlever/")
            && !name.startsWith("plumlever/drill/")
            && !name.startsWith("plumlever/sharing/")
            && name.endsWith(".class")) {
          try {
            Class.forName(name.substring(0, name.length() - 6).replace('/', '.'));
          } catch (ClassNotFoundException x) {
            throw new IOException(name, x);
          }
        }
      }
    }
  }

  private static void ask(String url, String body) throws IOException {
    HttpURLConnection httpURLConnection =
        (HttpURLConnection) URI.create(url).toURL().openConnection();
    httpURLConnection.setConnectTimeout(3_000);
    httpURLConnection.setReadTimeout(6_000);
    if (body != null) {
      httpURLConnection.setRequestMethod("POST");
      httpURLConnection.setDoOutput(true);
      httpURLConnection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
    }
    httpURLConnection.getResponseCode();
    httpURLConnection.disconnect();
  }
}
