package plumlever.settings;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.YAMLException;

/**
 * The operators' own YAML file. An unknown key is an error, since a misspelt one would be lost in
 * silence.
 */
public final class OperatorFile {
  private final String file;
  private final Map<String, Object> left;

  private OperatorFile(String file, Map<String, Object> values) {
    this.file = file;
    this.left = values;
  }

  public static Tunables load(Path path) throws SettingsException {
    Object root;
    try (Reader in = Files.newBufferedReader(path)) {
      root = new Yaml(new SafeConstructor(new LoaderOptions())).load(in);
    } catch (IOException e) {
      throw new SettingsException(path + ": cannot be read: " + e.getClass().getSimpleName());
    } catch (YAMLException e) {
      throw new SettingsException(
          path + ": not YAML: " + e.getMessage().lines().findFirst().orElse(""));
    }
    Map<String, Object> values = new HashMap<>();
    if (root instanceof Map<?, ?> m) {
      m.forEach((k, v) -> values.put(String.valueOf(k), v));
    } else if (root != null) {
      throw new SettingsException(path + ": must be a table of keys and values");
    }
    return new OperatorFile(path.toString(), values).read();
  }

  private Tunables read() throws SettingsException {
    Tunables d = Tunables.defaults();
    Tunables t =
        new Tunables(
            number("padding_share", d.paddingShare(), 0, 1),
            number("tie_share", d.tieShare(), 0, 1),
            micros("start_target_s", d.startTargetMicros(), 0, 1e6),
            micros("grant_ttl_s", d.grantTtlMicros(), 1, 600),
            micros("touch_s", d.touchMicros(), 0.1, 100),
            micros("act_margin_s", d.actMarginMicros(), 0.05, 10),
            micros("progress_s", d.progressMicros(), 0.1, 60),
            micros("round_budget_s", d.roundBudgetMicros(), 0.001, 1),
            micros("silent_s", d.silentMicros(), 1, 600),
            micros("idle_money_s", d.idleMoneyMicros(), 0, 1e6),
            micros("idle_speed_s", d.idleSpeedMicros(), 0, 1e6),
            number("boot_factor", d.bootFactor(), 1, 100),
            micros("rent_s", d.rentMicros(), 0, 3600),
            micros("begin_s", d.beginMicros(), 1, 1e6),
            number("standby_spreads", d.standbySpreads(), 0, 100),
            number("spot_risk", d.spotRisk(), 0, 100),
            owned());
    if (!left.isEmpty()) {
      throw new SettingsException(file + ": " + left.keySet().iterator().next() + " is unknown");
    }
    if (t.touchMicros() * 2 + t.actMarginMicros() > t.grantTtlMicros()) {
      throw new SettingsException(
          file + ": grant_ttl_s must exceed twice touch_s and act_margin_s");
    }
    return t;
  }

  private Map<String, Double> owned() throws SettingsException {
    Object v = left.remove("owned_hourly");
    if (v == null) {
      return Map.of();
    }
    if (!(v instanceof Map<?, ?> m)) {
      throw new SettingsException(file + ": owned_hourly must be a table of type names and costs");
    }
    Map<String, Double> out = new HashMap<>();
    for (Map.Entry<?, ?> e : m.entrySet()) {
      if (!(e.getValue() instanceof Number n) || !(n.doubleValue() >= 0 && n.doubleValue() < 1e9)) {
        throw new SettingsException(
            file + ": owned_hourly." + e.getKey() + " must be a cost of at least 0");
      }
      out.put(String.valueOf(e.getKey()), n.doubleValue());
    }
    return Map.copyOf(out);
  }

  private double number(String key, double otherwise, double min, double max)
      throws SettingsException {
    Object v = left.remove(key);
    if (v == null) {
      return otherwise;
    }
    if (!(v instanceof Number n)) {
      throw new SettingsException(file + ": " + key + " must be a number");
    }
    double d = n.doubleValue();
    if (!(d >= min && d <= max)) {
      throw new SettingsException(file + ": " + key + " must be from " + min + " to " + max);
    }
    return d;
  }

  private long micros(String key, long otherwise, double min, double max) throws SettingsException {
    return Math.round(number(key, otherwise / 1e6, min, max) * 1e6);
  }
}
