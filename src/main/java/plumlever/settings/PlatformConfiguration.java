package plumlever.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings that the platform hands over. Unknown fields are ignored, since new ones may appear.
 *
 * @param label the name of this controller
 * @param zone that it runs in
 * @param bind where users, workers and health checks reach it
 * @param peerBind where the other controllers reach it
 * @param peers the other controllers
 * @param cloud the cloud's address
 * @param state the state service's address
 * @param teams whose jobs are accepted
 * @param objectives the service-level objectives
 * @param socketLimit how many file descriptors the process may have open
 */
public record PlatformConfiguration(
    String label,
    String zone,
    Endpoint bind,
    Endpoint peerBind,
    List<PeerController> peers,
    Endpoint cloud,
    Endpoint state,
    List<Team> teams,
    List<Objective> objectives,
    Workers workers,
    StateLimits stateLimits,
    CloudLimits cloudLimits,
    int socketLimit) {

  /** Another controller of the deployment. */
  public record PeerController(String label, String zone, Endpoint endpoint) {}

  /** A team's guaranteed resources and its limits (quota); 0 means none. */
  public record Team(
      String name,
      double guaranteedCores,
      double maxCores,
      double guaranteedAccelerators,
      double maxAccelerators) {}

  /**
   * A service-level objective.
   *
   * @param kind what it is about, such as a deadline or the wait for a start
   * @param jobClass the jobs that it holds for; null for all
   * @param withinS the time within which tasks have to start
   * @param deadlineFactor how many times its deadline a job may take
   * @param share the part of the jobs that has to meet it
   */
  public record Objective(
      String kind, String jobClass, double withinS, double deadlineFactor, double share) {
    private static final String WAIT = "wait";
    private static final String PRICE = "price";
    private static final String USEFUL = "useful";
    private static final double MICROS_PER_SECOND = 1e6;

    private boolean namesMoney() {
      return kind.equals(PRICE) || kind.equals(USEFUL);
    }

    private boolean leavesTimeFor(long micros) {
      return !kind.equals(WAIT) || withinS * MICROS_PER_SECOND >= micros;
    }
  }

  /** Times of the workers: between heartbeats, of a lease, and until a cancellation has effect. */
  public record Workers(long heartbeatMicros, long leaseMicros, long cancelMicros) {
    /** Heartbeats are early or late by up to this part of the interval. */
    private static final int JITTER_DIVISOR = 4;

    private static final long DELIVERY_MARGIN_MICROS = 2_000_000;

    /** A heartbeat that has not arrived after this time has been missed. */
    public long missedHeartbeatMicros() {
      return heartbeatMicros + heartbeatMicros / JITTER_DIVISOR + DELIVERY_MARGIN_MICROS;
    }
  }

  /**
   * What the state service accepts: the smaller of what holds now and what is announced for later,
   * which comes into force without notice.
   *
   * @param rps requests a second
   * @param writeRps changes a second
   * @param valueBytes size of a value
   * @param transactionOps changes in a transaction
   * @param formerValueBytes the largest value now: versions that knew of no later limit laid
   *     records out by it
   */
  public record StateLimits(
      double rps, double writeRps, int valueBytes, int transactionOps, int formerValueBytes) {
    /** Limits of which none is announced for later. */
    public StateLimits(double rps, double writeRps, int valueBytes, int transactionOps) {
      this(rps, writeRps, valueBytes, transactionOps, valueBytes);
    }

    StateLimits smallerOf(StateLimits next) {
      return new StateLimits(
          Math.min(rps, next.rps),
          Math.min(writeRps, next.writeRps),
          Math.min(valueBytes, next.valueBytes),
          Math.min(transactionOps, next.transactionOps),
          formerValueBytes);
    }
  }

  /**
   * What the cloud accepts.
   *
   * @param rps requests a second
   * @param listLagMicros by how much its list of machines lags
   */
  public record CloudLimits(double rps, long listLagMicros) {}

  /**
   * Whether to save money where the objectives leave time for it. True where objectives name money;
   * and, since the platform may leave such objectives out of the file, wherever every objective for
   * a start leaves time to rent a machine on demand. Otherwise machines must be kept idle, and only
   * speed matters.
   *
   * @param rentalMicros what it takes to rent a machine
   */
  public boolean moneyMatters(long rentalMicros) {
    return objectives.stream().anyMatch(Objective::namesMoney)
        || objectives.stream().allMatch(objective -> objective.leavesTimeFor(rentalMicros));
  }

  /**
   * Reads and checks the platform's file.
   *
   * @throws SettingsException if it can't be read, or a value is missing or has a wrong type or
   *     range
   */
  public static PlatformConfiguration load(Path file) throws SettingsException {
    return new PlatformFile(TomlTable.root(file.toString(), parse(file))).read();
  }

  private static JsonNode parse(Path file) throws SettingsException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw new SettingsException(file + ": cannot be read: " + e.getClass().getSimpleName());
    }
    try {
      return new TomlMapper().readTree(text);
    } catch (JsonProcessingException e) {
      throw new SettingsException(file + ": not TOML: " + firstLine(e.getOriginalMessage()));
    }
  }

  private static String firstLine(String text) {
    int lineEnd = text.indexOf('\n');
    return lineEnd < 0 ? text : text.substring(0, lineEnd);
  }
}
