package plumlever.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Reads the platform's settings file. The first value that is invalid or missing is reported as an
 * error.
 */
final class PlatformFile {
  private static final double MAX_NUMBER = 1e9;
  private static final double MAX_DEADLINE_FACTOR = 1e6;
  private static final double MIN_STATE_RPS = 1;
  private static final double MIN_CLOUD_RPS = 0.1;
  private static final double MIN_FILE_DESCRIPTORS = 64;
  private static final double MAX_FILE_DESCRIPTORS = 1e7;

  /**
   * The smallest accepted setting of the state service's maximum value size, in KB. With a smaller
   * size, not all records can be stored.
   */
  private static final double MIN_VALUE_KB = 1;

  /**
   * The state service must allow at least this many operations per transaction: an election puts
   * the records of the leader and the term and deletes the delegation record.
   */
  private static final double MIN_TRANSACTION_OPS = 3;

  private static final double MAX_STATE_LIMIT = 1e6;
  private static final int BYTES_PER_KB = 1024;

  private static final String LABEL = "label";
  private static final String ZONE = "area";
  private static final String RPS = "rps";
  private static final String WRITE_RPS = "write_rps";
  private static final String VALUE_KB = "value_kb";
  private static final String TRANSACTION_OPS = "txn_ops";
  private static final String NEXT_LIMITS = "next";

  private final TomlTable root;

  PlatformFile(TomlTable root) {
    this.root = root;
  }

  PlatformConfiguration read() throws SettingsException {
    List<PlatformConfiguration.PeerController> peers = peers(root.text(LABEL));
    TomlTable outside = root.table("outside");
    TomlTable deployment = root.table("deployment");
    List<PlatformConfiguration.Team> teams = teams(deployment);
    List<PlatformConfiguration.Objective> objectives = objectives(deployment);
    TomlTable workers = deployment.table("workers");
    TomlTable state = deployment.table("state");
    TomlTable cloud = deployment.table("cloud");
    TomlTable quota = deployment.table("quota");
    return new PlatformConfiguration(
        root.text(LABEL),
        root.text(ZONE),
        root.endpoint("bind"),
        root.endpoint("back"),
        peers,
        outside.endpoint("cloud"),
        outside.endpoint("state"),
        teams,
        objectives,
        workers(workers),
        stateLimits(state),
        cloudLimits(cloud),
        (int) quota.number("fd_limit", MIN_FILE_DESCRIPTORS, MAX_FILE_DESCRIPTORS));
  }

  private List<PlatformConfiguration.PeerController> peers(String ownLabel)
      throws SettingsException {
    Set<String> labels = new HashSet<>();
    labels.add(ownLabel);
    List<PlatformConfiguration.PeerController> peers = new ArrayList<>();
    for (TomlTable table : root.tables("seeds")) {
      PlatformConfiguration.PeerController peer =
          new PlatformConfiguration.PeerController(
              table.text(LABEL), table.text(ZONE), table.endpoint("endpoint"));
      if (!labels.add(peer.label())) {
        throw table.error(LABEL, "is used twice");
      }
      peers.add(peer);
    }
    return List.copyOf(peers);
  }

  private static List<PlatformConfiguration.Team> teams(TomlTable deployment)
      throws SettingsException {
    List<PlatformConfiguration.Team> teams = new ArrayList<>();
    for (TomlTable table : deployment.tables("teams")) {
      teams.add(
          new PlatformConfiguration.Team(
              table.text("name"),
              table.number("cpus", 0, MAX_NUMBER),
              table.number("cpus_max", 0, MAX_NUMBER),
              table.number("gpus", 0, MAX_NUMBER),
              table.number("gpus_max", 0, MAX_NUMBER)));
    }
    return List.copyOf(teams);
  }

  private static List<PlatformConfiguration.Objective> objectives(TomlTable deployment)
      throws SettingsException {
    List<PlatformConfiguration.Objective> objectives = new ArrayList<>();
    for (TomlTable table : deployment.tables("objectives")) {
      objectives.add(
          new PlatformConfiguration.Objective(
              table.text("kind"),
              table.optionalText("class").orElse(null),
              table.number("within_s", 0, MAX_NUMBER, 0),
              table.number("times", 0, MAX_DEADLINE_FACTOR, 1),
              table.number("share", 0, 1, 1)));
    }
    return List.copyOf(objectives);
  }

  private static PlatformConfiguration.Workers workers(TomlTable workers) throws SettingsException {
    return new PlatformConfiguration.Workers(
        workers.durationMicros("report_s"),
        workers.durationMicros("lease_s"),
        workers.durationMicros("cancel_s"));
  }

  private static PlatformConfiguration.CloudLimits cloudLimits(TomlTable cloud)
      throws SettingsException {
    return new PlatformConfiguration.CloudLimits(
        cloud.number(RPS, MIN_CLOUD_RPS, MAX_NUMBER), cloud.durationMicros("list_lag_s"));
  }

  /**
   * Reads the limits of the state service. If no later value is announced for a limit, the current
   * value is used.
   */
  private static PlatformConfiguration.StateLimits stateLimits(TomlTable state)
      throws SettingsException {
    PlatformConfiguration.StateLimits now =
        new PlatformConfiguration.StateLimits(
            rate(state, RPS), rate(state, WRITE_RPS), valueBytes(state), transactionOps(state));
    if (!state.has(NEXT_LIMITS)) {
      return now;
    }
    TomlTable next = state.table(NEXT_LIMITS);
    return now.smallerOf(
        new PlatformConfiguration.StateLimits(
            next.has(RPS) ? rate(next, RPS) : now.rps(),
            next.has(WRITE_RPS) ? rate(next, WRITE_RPS) : now.writeRps(),
            next.has(VALUE_KB) ? valueBytes(next) : now.valueBytes(),
            next.has(TRANSACTION_OPS) ? transactionOps(next) : now.transactionOps()));
  }

  private static double rate(TomlTable limits, String key) throws SettingsException {
    return limits.number(key, MIN_STATE_RPS, MAX_NUMBER);
  }

  private static int valueBytes(TomlTable limits) throws SettingsException {
    return (int) (limits.number(VALUE_KB, MIN_VALUE_KB, MAX_STATE_LIMIT) * BYTES_PER_KB);
  }

  private static int transactionOps(TomlTable limits) throws SettingsException {
    return (int) limits.number(TRANSACTION_OPS, MIN_TRANSACTION_OPS, MAX_STATE_LIMIT);
  }
}
