package plumlever.drill;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import plumlever.settings.Endpoint;

/** A controller in a separate process that can be killed, paused and restarted. */
final class ControllerProcess {
  private static final String MAIN = "plumlever.cli.Main";
  private static final long EXIT_TIMEOUT_S = 5;

  private final String label;
  private final Endpoint userEndpoint;
  private final Endpoint peerEndpoint;
  private final Path directory;
  private Process process;

  /**
   * @param directory directory of the settings files and the log file
   */
  ControllerProcess(String label, Endpoint userEndpoint, Endpoint peerEndpoint, Path directory) {
    this.label = label;
    this.userEndpoint = userEndpoint;
    this.peerEndpoint = peerEndpoint;
    this.directory = directory;
  }

  String label() {
    return label;
  }

  Endpoint userEndpoint() {
    return userEndpoint;
  }

  Endpoint peerEndpoint() {
    return peerEndpoint;
  }

  Path platformFile() {
    return directory.resolve(label + ".toml");
  }

  Path operatorsFile() {
    return directory.resolve("sharing.yaml");
  }

  Path log() {
    return directory.resolve(label + ".log");
  }

  void start() throws IOException {
    List<String> command =
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xmx96m",
            "-cp",
            System.getProperty("java.class.path"),
            MAIN,
            "--config",
            platformFile().toString(),
            "--settings",
            operatorsFile().toString());
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log().toString())));
    process = builder.start();
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Kills the process with a signal that it can't handle (SIGKILL). */
  void kill() {
    process.destroyForcibly();
  }

  /** Pauses the process (SIGSTOP); its clocks keep running. */
  void pause() throws IOException {
    signal("-STOP");
  }

  void resume() throws IOException {
    signal("-CONT");
  }

  private void signal(String signal) throws IOException {
    new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
  }

  /** Kills the process and waits for its end. */
  void terminate() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly();
      process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
    }
  }
}
