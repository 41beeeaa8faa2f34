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
public record Platform(
    String label,
    String area,
    Endpoint bind,
    Endpoint back,
    List<Seed> seeds,
    Endpoint cloud,
    Endpoint state,
    List<Team> teams,
    List<Objective> objectives,
    Workers workers,
    StateLimits stateLimits,
    CloudLimits cloudLimits,
    int socketLimit) {

  /** Another controller. */
  public record Seed(String label, String area, Endpoint endpoint) {}

  /** A team's guarantee and limit; 0 means none. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

  /** An aim of the users: {@code jobclass} is null where it stands for all work. */
  public record Objective(
      String kind, String jobclass, double withinS, double times, double share) {}

  public record Workers(long reportMicros, long leaseMicros, long cancelMicros) {
    /**
     * Reports come every so often, plus or minus a quarter; one that takes longer than this has
     * been missed.
     */
    public long latestReportMicros() {
      return reportMicros + reportMicros / 4 + 2_000_000;
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
      double rps, double writeRps, int valueBytes, int txnOps, int formerValueBytes) {
    public StateLimits(double rps, double writeRps, int valueBytes, int txnOps) {
      this(rps, writeRps, valueBytes, txnOps, valueBytes);
    }

    StateLimits within(StateLimits next) {
      return new StateLimits(
          Math.min(rps, next.rps),
          Math.min(writeRps, next.writeRps),
          Math.min(valueBytes, next.valueBytes),
          Math.min(txnOps, next.txnOps),
          formerValueBytes);
    }
  }

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

  public static Platform load(Path file) throws SettingsException {
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

  private static String firstLine(String s) {
    int nl = s.indexOf('\n');
    return nl < 0 ? s : s.substring(0, nl);
  }

  private static final class Reader {
    private final String file;
    private final JsonNode root;

    Reader(String file, JsonNode root) {
      this.file = file;
      this.root = root;
    }

    Platform platform() throws SettingsException {
      List<Seed> seeds = new ArrayList<>();
      Set<String> labels = new HashSet<>();
      labels.add(text(root, "", "label"));
      int i = 0;
      for (JsonNode s : list(root, "", "seeds")) {
        String at = "seeds[" + i++ + "].";
        Seed seed =
            new Seed(text(s, at, "label"), text(s, at, "area"), endpoint(s, at, "endpoint"));
        if (!labels.add(seed.label())) {
          throw bad(at + "label", "is used twice");
        }
        seeds.add(seed);
      }
      JsonNode outside = table(root, "", "outside");
      JsonNode dep = table(root, "", "deployment");
      List<Team> teams = new ArrayList<>();
      i = 0;
      for (JsonNode t : list(dep, "deployment.", "teams")) {
        String at = "deployment.teams[" + i++ + "].";
        teams.add(
            new Team(
                text(t, at, "name"),
                amount(t, at, "cpus", 0, 1e9),
                amount(t, at, "cpus_max", 0, 1e9),
                amount(t, at, "gpus", 0, 1e9),
                amount(t, at, "gpus_max", 0, 1e9)));
      }
      List<Objective> objectives = new ArrayList<>();
      i = 0;
      for (JsonNode o : list(dep, "deployment.", "objectives")) {
        String at = "deployment.objectives[" + i++ + "].";
        objectives.add(
            new Objective(
                text(o, at, "kind"),
                o.hasNonNull("class") ? text(o, at, "class") : null,
                o.hasNonNull("within_s") ? amount(o, at, "within_s", 0, 1e9) : 0,
                o.hasNonNull("times") ? amount(o, at, "times", 0, 1e6) : 1,
                o.hasNonNull("share") ? amount(o, at, "share", 0, 1) : 1));
      }
      JsonNode w = table(dep, "deployment.", "workers");
      JsonNode s = table(dep, "deployment.", "state");
      JsonNode c = table(dep, "deployment.", "cloud");
      JsonNode q = table(dep, "deployment.", "quota");
      return new Platform(
          text(root, "", "label"),
          text(root, "", "area"),
          endpoint(root, "", "bind"),
          endpoint(root, "", "back"),
          List.copyOf(seeds),
          endpoint(outside, "outside.", "cloud"),
          endpoint(outside, "outside.", "state"),
          List.copyOf(teams),
          List.copyOf(objectives),
          new Workers(
              micros(w, "deployment.workers.", "report_s"),
              micros(w, "deployment.workers.", "lease_s"),
              micros(w, "deployment.workers.", "cancel_s")),
          stateLimits(s),
          new CloudLimits(
              amount(c, "deployment.cloud.", "rps", 0.1, 1e9),
              micros(c, "deployment.cloud.", "list_lag_s")),
          (int) amount(q, "deployment.quota.", "fd_limit", 64, 1e7));
    }

    /** What is announced for later may name some limits only; the others stay. */
    private StateLimits stateLimits(JsonNode s) throws SettingsException {
      StateLimits now = limits(s, "deployment.state.", null);
      return s.has("next")
          ? now.within(limits(table(s, "deployment.state.", "next"), "deployment.state.next.", now))
          : now;
    }

    private StateLimits limits(JsonNode s, String at, StateLimits otherwise)
        throws SettingsException {
      boolean all = otherwise == null;
      double rps = all || s.has("rps") ? amount(s, at, "rps", 1, 1e9) : otherwise.rps();
      double writeRps =
          all || s.has("write_rps") ? amount(s, at, "write_rps", 1, 1e9) : otherwise.writeRps();
      // Less than this would hold neither a job's record nor an election.
      int valueBytes =
          all || s.has("value_kb")
              ? (int) (amount(s, at, "value_kb", 1, 1e6) * 1024)
              : otherwise.valueBytes();
      int txnOps =
          all || s.has("txn_ops") ? (int) amount(s, at, "txn_ops", 3, 1e6) : otherwise.txnOps();
      return new StateLimits(rps, writeRps, valueBytes, txnOps);
    }

    private SettingsException bad(String key, String why) {
      return new SettingsException(file + ": " + key + " " + why);
    }

    private JsonNode table(JsonNode in, String at, String key) throws SettingsException {
      JsonNode n = in.get(key);
      if (n == null || !n.isObject()) {
        throw bad(at + key, n == null ? "is missing" : "must be a table");
      }
      return n;
    }

    private Iterable<JsonNode> list(JsonNode in, String at, String key) throws SettingsException {
      JsonNode n = in.get(key);
      if (n == null) {
        return List.of();
      }
      if (!n.isArray()) {
        throw bad(at + key, "must be a list of tables");
      }
      for (JsonNode x : n) {
        if (!x.isObject()) {
          throw bad(at + key, "must be a list of tables");
        }
      }
      return n;
    }

    private String text(JsonNode in, String at, String key) throws SettingsException {
      JsonNode n = in.get(key);
      if (n == null || !n.isTextual() || n.textValue().isBlank()) {
        throw bad(at + key, n == null ? "is missing" : "must be a text that is not empty");
      }
      return n.textValue();
    }

    private double amount(JsonNode in, String at, String key, double min, double max)
        throws SettingsException {
      JsonNode n = in.get(key);
      if (n == null || !n.isNumber()) {
        throw bad(at + key, n == null ? "is missing" : "must be a number");
      }
      double d = n.doubleValue();
      if (!(d >= min && d <= max)) {
        throw bad(at + key, "must be from " + min + " to " + max);
      }
      return d;
    }

    private long micros(JsonNode in, String at, String key) throws SettingsException {
      return Math.round(amount(in, at, key, 0.001, 1e9) * 1e6);
    }

    private Endpoint endpoint(JsonNode in, String at, String key) throws SettingsException {
      String t = text(in, at, key);
      Endpoint e = Endpoint.parse(t);
      if (e == null) {
        throw bad(at + key, "must be ADDRESS:PORT");
      }
      return e;
    }
  }
}
