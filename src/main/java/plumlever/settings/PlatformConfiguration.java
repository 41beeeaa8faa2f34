package plumlever.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings that the platform provides. Unknown fields are ignored, because later versions of
 * the platform may add fields.
 *
 * @param label the name of this controller
 * @param zone the zone in which this controller runs
 * @param bind the address on which this controller listens for users, workers and health checks
 * @param peerBind the address on which this controller listens for other controllers
 * @param peers the other controllers of the deployment
 * @param cloud the address of the cloud
 * @param state the address of the state service
 * @param teams the teams whose jobs are accepted
 * @param objectives the service-level objectives
 * @param maxFileDescriptors the maximum number of open file descriptors of the process
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
    int maxFileDescriptors) {

  /** Another controller of the deployment. */
  public record PeerController(String label, String zone, Endpoint endpoint) {}

  /** A team's guaranteed resources and its resource limits (quota); 0 means none. */
  public record Team(
      String name,
      double guaranteedCores,
      double maxCores,
      double guaranteedAccelerators,
      double maxAccelerators) {}

  /**
   * A service-level objective.
   *
   * @param kind the measured quantity, such as the deadline or the wait until the start
   * @param jobClass the class of the jobs that the objective applies to; null for all jobs
   * @param withinS the time target in seconds: within this time after release, the job must start
   *     (kind "wait") or finish (kind "finished"), for example; 0 if not given
   * @param deadlineFactor for kind "deadline": the job must finish within this multiple of its
   *     deadline, both counted from its submission; 1 if not given
   * @param share the fraction of the jobs that must meet the objective; 1 if not given
   */
  public record Objective(
      String kind, String jobClass, double withinS, double deadlineFactor, double share) {
    private static final String WAIT = "wait";
    private static final String PRICE = "price";
    private static final String USEFUL = "useful";
    private static final double MICROS_PER_SECOND = 1e6;

    private boolean isAboutCost() {
      return kind.equals(PRICE) || kind.equals(USEFUL);
    }

    private boolean leavesTimeFor(long micros) {
      return !kind.equals(WAIT) || withinS * MICROS_PER_SECOND >= micros;
    }
  }

  /**
   * Timing of the workers.
   *
   * @param heartbeatMicros the interval between heartbeats
   * @param leaseMicros the duration of a worker's lease
   * @param cancelMicros the time until a cancellation takes effect
   */
  public record Workers(long heartbeatMicros, long leaseMicros, long cancelMicros) {
    /**
     * A worker may send a heartbeat early or late by up to the heartbeat interval divided by this
     * number.
     */
    private static final int JITTER_DIVISOR = 4;

    /** The time allowed for a heartbeat to arrive after it was sent. */
    private static final long DELIVERY_MARGIN_MICROS = 2_000_000;

    /**
     * Returns how long after the last heartbeat of a worker the next one counts as missed if none
     * has arrived.
     */
    public long missedHeartbeatMicros() {
      return heartbeatMicros + heartbeatMicros / JITTER_DIVISOR + DELIVERY_MARGIN_MICROS;
    }
  }

  /**
   * The limits of the state service. Each is the smaller of the current value and the value
   * announced for later, because an announced limit may take effect at any time.
   *
   * @param rps requests per second
   * @param writeRps write operations per second
   * @param valueBytes the maximum size of a value
   * @param transactionOps the maximum number of write operations in a transaction
   * @param currentValueBytes the current maximum size of a value, regardless of announced limits.
   *     Earlier versions did not read announced limits and split stored records by this size, so
   *     this size is needed to read their records.
   */
  public record StateLimits(
      double rps, double writeRps, int valueBytes, int transactionOps, int currentValueBytes) {
    /** Creates limits of the state service for which no change is announced. */
    public StateLimits(double rps, double writeRps, int valueBytes, int transactionOps) {
      this(rps, writeRps, valueBytes, transactionOps, valueBytes);
    }

    /**
     * Combines these limits with the limits announced for later by taking the smaller value of
     * each.
     */
    StateLimits smallerOf(StateLimits next) {
      return new StateLimits(
          Math.min(rps, next.rps),
          Math.min(writeRps, next.writeRps),
          Math.min(valueBytes, next.valueBytes),
          Math.min(transactionOps, next.transactionOps),
          currentValueBytes);
    }
  }

  /**
   * The limits of the cloud.
   *
   * @param rps requests per second
   * @param listLagMicros the time by which the cloud's machine list lags behind the actual machines
   */
  public record CloudLimits(double rps, long listLagMicros) {}

  /**
   * Returns true if scheduling should minimize cost, false if only speed matters. Cost matters if
   * an objective is about cost, or if every objective for the wait until the start leaves enough
   * time to rent a machine on demand. The second rule exists because the platform may omit cost
   * objectives from the file. If neither rule applies, idle machines must be kept available.
   *
   * @param provisioningMicros the time from a rental request until the machine is up
   */
  public boolean costMatters(long provisioningMicros) {
    return objectives.stream().anyMatch(Objective::isAboutCost)
        || objectives.stream().allMatch(objective -> objective.leavesTimeFor(provisioningMicros));
  }

  /**
   * Reads and validates the platform's settings file.
   *
   * @throws SettingsException if the file cannot be read, or a value is missing, of the wrong type
   *     or out of range
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
