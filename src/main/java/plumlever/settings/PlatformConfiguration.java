package plumlever.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The settings file that the platform hands over. Unknown fields are ignored, since new ones may
 * appear.
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

  /** Another controller. */
  public record PeerController(String label, String zone, Endpoint endpoint) {}

  /** A team's guarantee and limit; 0 means none. */
  public record Team(
      String name,
      double guaranteedCores,
      double maxCores,
      double guaranteedAccelerators,
      double maxAccelerators) {}

  /** An aim of the users: {@code jobClass} is null where it stands for all work. */
  public record Objective(
      String kind, String jobClass, double withinS, double deadlineFactor, double share) {}

  /** Times of the workers: between reports, of a lease, and for a cancellation. */
  public record Workers(long heartbeatMicros, long leaseMicros, long cancelMicros) {
    /**
     * Heartbeats come every so often, plus or minus a quarter; one that takes longer than this has
     * been missed.
     */
    public long missedHeartbeatMicros() {
      return heartbeatMicros + heartbeatMicros / 4 + 2_000_000;
    }
  }

  /**
   * What the state service takes: the smaller of what holds now and what is announced for later,
   * which comes without notice.
   *
   * @param formerValueBytes the largest value now: versions that knew of no later limit laid
   *     records out by it
   */
  public record StateLimits(
      double rps, double writeRps, int valueBytes, int transactionOps, int formerValueBytes) {
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

  /** The cloud's request rate, and how far its list lags. */
  public record CloudLimits(double rps, long listLagMicros) {}

  /**
   * Whether to save money where the aims leave time for it. True where the aims name money; and,
   * since the platform may leave such aims out of the file, wherever every aim for a start leaves
   * time to rent a machine on demand. Where one does not, machines must stand by, and speed is all
   * that counts.
   */
  public boolean moneyMatters(long rentMicros) {
    return objectives.stream().anyMatch(o -> o.kind().equals("price") || o.kind().equals("useful"))
        || objectives.stream()
            .noneMatch(o -> o.kind().equals("wait") && o.withinS() * 1e6 < rentMicros);
  }

  /** Reads the platform's file; what is missing or wrong is told with file, key and reason. */
  public static PlatformConfiguration load(Path file) throws SettingsException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw new SettingsException(file + ": cannot be read: " + e.getClass().getSimpleName());
    }
    try {
      return new Reader(file.toString(), new TomlMapper().readTree(text)).platform();
    } catch (JsonProcessingException e) {
      throw new SettingsException(file + ": not TOML: " + firstLine(e.getOriginalMessage()));
    }
  }

  private static String firstLine(String text) {
    int nl = text.indexOf('\n');
    return nl < 0 ? text : text.substring(0, nl);
  }

  private static final class Reader {
    private final String file;
    private final JsonNode root;

    Reader(String file, JsonNode root) {
      this.file = file;
      this.root = root;
    }

    PlatformConfiguration platform() throws SettingsException {
      List<PeerController> peers = new ArrayList<>();
      Set<String> labels = new HashSet<>();
      labels.add(text(root, "", "label"));
      int index = 0;
      for (JsonNode node : list(root, "", "seeds")) {
        String at = "seeds[" + index++ + "].";
        PeerController seed =
            new PeerController(
                text(node, at, "label"), text(node, at, "area"), endpoint(node, at, "endpoint"));
        if (!labels.add(seed.label())) {
          throw bad(at + "label", "is used twice");
        }
        peers.add(seed);
      }
      JsonNode outside = table(root, "", "outside");
      JsonNode dep = table(root, "", "deployment");
      List<Team> teams = new ArrayList<>();
      index = 0;
      for (JsonNode team : list(dep, "deployment.", "teams")) {
        String at = "deployment.teams[" + index++ + "].";
        teams.add(
            new Team(
                text(team, at, "name"),
                amount(team, at, "cpus", 0, 1e9),
                amount(team, at, "cpus_max", 0, 1e9),
                amount(team, at, "gpus", 0, 1e9),
                amount(team, at, "gpus_max", 0, 1e9)));
      }
      List<Objective> objectives = new ArrayList<>();
      index = 0;
      for (JsonNode objective : list(dep, "deployment.", "objectives")) {
        String at = "deployment.objectives[" + index++ + "].";
        objectives.add(
            new Objective(
                text(objective, at, "kind"),
                objective.hasNonNull("class") ? text(objective, at, "class") : null,
                objective.hasNonNull("within_s") ? amount(objective, at, "within_s", 0, 1e9) : 0,
                objective.hasNonNull("times") ? amount(objective, at, "times", 0, 1e6) : 1,
                objective.hasNonNull("share") ? amount(objective, at, "share", 0, 1) : 1));
      }
      JsonNode workers = table(dep, "deployment.", "workers");
      JsonNode node = table(dep, "deployment.", "state");
      JsonNode cloud = table(dep, "deployment.", "cloud");
      JsonNode quota = table(dep, "deployment.", "quota");
      return new PlatformConfiguration(
          text(root, "", "label"),
          text(root, "", "area"),
          endpoint(root, "", "bind"),
          endpoint(root, "", "back"),
          List.copyOf(peers),
          endpoint(outside, "outside.", "cloud"),
          endpoint(outside, "outside.", "state"),
          List.copyOf(teams),
          List.copyOf(objectives),
          new Workers(
              micros(workers, "deployment.workers.", "report_s"),
              micros(workers, "deployment.workers.", "lease_s"),
              micros(workers, "deployment.workers.", "cancel_s")),
          stateLimits(node),
          new CloudLimits(
              amount(cloud, "deployment.cloud.", "rps", 0.1, 1e9),
              micros(cloud, "deployment.cloud.", "list_lag_s")),
          (int) amount(quota, "deployment.quota.", "fd_limit", 64, 1e7));
    }

    /** What is announced for later may name some limits only; the others stay. */
    private StateLimits stateLimits(JsonNode node) throws SettingsException {
      StateLimits now = limits(node, "deployment.state.", null);
      return node.has("next")
          ? now.smallerOf(
              limits(table(node, "deployment.state.", "next"), "deployment.state.next.", now))
          : now;
    }

    private StateLimits limits(JsonNode node, String at, StateLimits otherwise)
        throws SettingsException {
      boolean all = otherwise == null;
      double rps = all || node.has("rps") ? amount(node, at, "rps", 1, 1e9) : otherwise.rps();
      double writeRps =
          all || node.has("write_rps")
              ? amount(node, at, "write_rps", 1, 1e9)
              : otherwise.writeRps();
      // Less than this would hold neither a job's record nor an election.
      int valueBytes =
          all || node.has("value_kb")
              ? (int) (amount(node, at, "value_kb", 1, 1e6) * 1024)
              : otherwise.valueBytes();
      int transactionOps =
          all || node.has("txn_ops")
              ? (int) amount(node, at, "txn_ops", 3, 1e6)
              : otherwise.transactionOps();
      return new StateLimits(rps, writeRps, valueBytes, transactionOps);
    }

    private SettingsException bad(String key, String why) {
      return new SettingsException(file + ": " + key + " " + why);
    }

    private JsonNode table(JsonNode in, String at, String key) throws SettingsException {
      JsonNode node = in.get(key);
      if (node == null || !node.isObject()) {
        throw bad(at + key, node == null ? "is missing" : "must be a table");
      }
      return node;
    }

    private Iterable<JsonNode> list(JsonNode in, String at, String key) throws SettingsException {
      JsonNode node = in.get(key);
      if (node == null) {
        return List.of();
      }
      if (!node.isArray()) {
        throw bad(at + key, "must be a list of tables");
      }
      for (JsonNode element : node) {
        if (!element.isObject()) {
          throw bad(at + key, "must be a list of tables");
        }
      }
      return node;
    }

    private String text(JsonNode in, String at, String key) throws SettingsException {
      JsonNode node = in.get(key);
      if (node == null || !node.isTextual() || node.textValue().isBlank()) {
        throw bad(at + key, node == null ? "is missing" : "must be a text that is not empty");
      }
      return node.textValue();
    }

    private double amount(JsonNode in, String at, String key, double min, double max)
        throws SettingsException {
      JsonNode node = in.get(key);
      if (node == null || !node.isNumber()) {
        throw bad(at + key, node == null ? "is missing" : "must be a number");
      }
      double amount = node.doubleValue();
      if (!(amount >= min && amount <= max)) {
        throw bad(at + key, "must be from " + min + " to " + max);
      }
      return amount;
    }

    private long micros(JsonNode in, String at, String key) throws SettingsException {
      return Math.round(amount(in, at, key, 0.001, 1e9) * 1e6);
    }

    private Endpoint endpoint(JsonNode in, String at, String key) throws SettingsException {
      String otherText = text(in, at, key);
      Endpoint endpoint = Endpoint.parse(otherText);
      if (endpoint == null) {
        throw bad(at + key, "must be ADDRESS:PORT");
      }
      return endpoint;
    }
  }
}
