package plumlever.settings;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
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
  private final Map<String, Object> unreadKeys;

  private OperatorFile(String file, Map<String, Object> values) {
    this.file = file;
    this.unreadKeys = values;
  }

  /** Reads the operators' file; an unknown key or a value out of range is an error. */
  public static OperatorSettings load(Path path, PlatformConfiguration platform)
      throws SettingsException {
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
    if (root instanceof Map<?, ?> map) {
      map.forEach((k, v) -> values.put(String.valueOf(k), v));
    } else if (root != null) {
      throw new SettingsException(path + ": must be a table of keys and values");
    }
    OperatorFile operatorFile = new OperatorFile(path.toString(), values);
    Optional<SharingSettings> sharing = operatorFile.sharing(platform);
    return new OperatorSettings(operatorFile.read(), sharing);
  }

  private Optional<SharingSettings> sharing(PlatformConfiguration platform)
      throws SettingsException {
    Object table = unreadKeys.remove("sharing");
    if (table == null) {
      return Optional.empty();
    }
    if (!(table instanceof Map<?, ?> map)) {
      throw new SettingsException(file + ": sharing must be a table");
    }
    return Optional.of(SharingSettings.read(file, map, platform));
  }

  private SchedulerParameters read() throws SettingsException {
    SchedulerParameters parameters = SchedulerParameters.defaults();
    SchedulerParameters read =
        new SchedulerParameters(
            number("padding_share", parameters.paddingShare(), 0, 1),
            number("tie_share", parameters.tieShare(), 0, 1),
            micros("start_target_s", parameters.startTargetMicros(), 0, 1e6),
            micros("grant_ttl_s", parameters.leaseTtlMicros(), 1, 600),
            micros("touch_s", parameters.leaseRenewalMicros(), 0.1, 100),
            micros("act_margin_s", parameters.actMarginMicros(), 0.05, 10),
            micros("progress_s", parameters.progressPauseMicros(), 0.1, 60),
            micros("round_budget_s", parameters.passBudgetMicros(), 0.001, 1),
            micros("silent_s", parameters.silentMicros(), 1, 600),
            micros("idle_money_s", parameters.idleMoneyMicros(), 0, 1e6),
            micros("idle_speed_s", parameters.idleSpeedMicros(), 0, 1e6),
            number("boot_factor", parameters.bootFactor(), 1, 100),
            micros("rent_s", parameters.rentalMicros(), 0, 3600),
            micros("begin_s", parameters.mustStartMicros(), 1, 1e6),
            number("standby_spreads", parameters.headroomDeviations(), 0, 100),
            number("spot_risk", parameters.spotRisk(), 0, 100),
            owned());
    if (!unreadKeys.isEmpty()) {
      throw new SettingsException(
          file + ": " + unreadKeys.keySet().iterator().next() + " is unknown");
    }
    if (read.leaseRenewalMicros() * 2 + read.actMarginMicros() > read.leaseTtlMicros()) {
      throw new SettingsException(
          file + ": grant_ttl_s must exceed twice touch_s and act_margin_s");
    }
    return read;
  }

  private Map<String, Double> owned() throws SettingsException {
    Object object = unreadKeys.remove("owned_hourly");
    if (object == null) {
      return Map.of();
    }
    if (!(object instanceof Map<?, ?> map)) {
      throw new SettingsException(file + ": owned_hourly must be a table of type names and costs");
    }
    Map<String, Double> out = new HashMap<>();
    for (Map.Entry<?, ?> entry : map.entrySet()) {
      if (!(entry.getValue() instanceof Number number)
          || !(number.doubleValue() >= 0 && number.doubleValue() < 1e9)) {
        throw new SettingsException(
            file + ": owned_hourly." + entry.getKey() + " must be a cost of at least 0");
      }
      out.put(String.valueOf(entry.getKey()), number.doubleValue());
    }
    return Map.copyOf(out);
  }

  private double number(String key, double otherwise, double min, double max)
      throws SettingsException {
    Object object = unreadKeys.remove(key);
    if (object == null) {
      return otherwise;
    }
    if (!(object instanceof Number number)) {
      throw new SettingsException(file + ": " + key + " must be a number");
    }
    double amount = number.doubleValue();
    if (!(amount >= min && amount <= max)) {
      throw new SettingsException(file + ": " + key + " must be from " + min + " to " + max);
    }
    return amount;
  }

  private long micros(String key, long otherwise, double min, double max) throws SettingsException {
    return Math.round(number(key, otherwise / 1e6, min, max) * 1e6);
  }
}
