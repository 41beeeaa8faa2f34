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
 * Reads the operators' settings file (YAML). Every key is optional. An unknown key is an error,
 * because a misspelled key would otherwise be ignored silently.
 */
public final class OperatorFile {
  private static final String SHARING = "sharing";
  private static final String OWNED_HOURLY = "owned_hourly";
  private static final double MAX_OWNED_HOURLY = 1e9;
  private static final double MICROS_PER_SECOND = 1e6;

  private final String file;

  /**
   * The entries of the settings file that have not been read yet. Entries that are left at the end
   * have unknown keys, which is an error.
   */
  private final Map<String, Object> unreadKeys;

  private OperatorFile(String file, Map<String, Object> values) {
    this.file = file;
    this.unreadKeys = values;
  }

  /**
   * Reads and validates the file.
   *
   * @param platform the platform's settings, which the sharing table is checked against
   * @throws SettingsException if the file cannot be read, contains an unknown key, or contains a
   *     value of the wrong type or out of range
   */
  public static OperatorSettings load(Path path, PlatformConfiguration platform)
      throws SettingsException {
    OperatorFile file = new OperatorFile(path.toString(), read(path));
    Optional<SharingSettings> sharing = file.sharing(platform);
    return new OperatorSettings(file.parameters(), sharing);
  }

  private static Map<String, Object> read(Path path) throws SettingsException {
    Object root;
    try (Reader reader = Files.newBufferedReader(path)) {
      root = new Yaml(new SafeConstructor(new LoaderOptions())).load(reader);
    } catch (IOException e) {
      throw new SettingsException(path + ": cannot be read: " + e.getClass().getSimpleName());
    } catch (YAMLException e) {
      throw new SettingsException(
          path + ": not YAML: " + e.getMessage().lines().findFirst().orElse(""));
    }
    Map<String, Object> values = new HashMap<>();
    if (root instanceof Map<?, ?> map) {
      map.forEach((key, value) -> values.put(String.valueOf(key), value));
    } else if (root != null) {
      throw new SettingsException(path + ": must be a mapping of keys to values");
    }
    return values;
  }

  private Optional<SharingSettings> sharing(PlatformConfiguration platform)
      throws SettingsException {
    Object table = unreadKeys.remove(SHARING);
    if (table == null) {
      return Optional.empty();
    }
    if (!(table instanceof Map<?, ?> map)) {
      throw error(SHARING + " must be a table");
    }
    return Optional.of(SharingSettings.read(file, map, platform));
  }

  private SchedulerParameters parameters() throws SettingsException {
    SchedulerParameters defaults = SchedulerParameters.defaults();
    SchedulerParameters parameters =
        new SchedulerParameters(
            number(OperatorKey.RUN_TIME_PADDING, defaults.runTimePadding()),
            number(OperatorKey.TIE_TOLERANCE, defaults.tieTolerance()),
            durationMicros(OperatorKey.START_TARGET_S, defaults.startTargetMicros()),
            durationMicros(OperatorKey.LEASE_TTL_S, defaults.leaseTtlMicros()),
            durationMicros(
                OperatorKey.LEASE_RENEWAL_INTERVAL_S, defaults.leaseRenewalIntervalMicros()),
            durationMicros(OperatorKey.LEASE_SAFETY_MARGIN_S, defaults.leaseSafetyMarginMicros()),
            durationMicros(
                OperatorKey.PROGRESS_WRITE_INTERVAL_S, defaults.progressWriteIntervalMicros()),
            durationMicros(OperatorKey.PASS_BUDGET_S, defaults.passBudgetMicros()),
            durationMicros(OperatorKey.HEARTBEAT_TIMEOUT_S, defaults.heartbeatTimeoutMicros()),
            durationMicros(
                OperatorKey.IDLE_TIMEOUT_FOR_COST_S, defaults.idleTimeoutForCostMicros()),
            durationMicros(
                OperatorKey.IDLE_TIMEOUT_FOR_SPEED_S, defaults.idleTimeoutForSpeedMicros()),
            number(OperatorKey.BOOT_TIMEOUT_FACTOR, defaults.bootTimeoutFactor()),
            durationMicros(OperatorKey.PROVISIONING_S, defaults.provisioningMicros()),
            durationMicros(OperatorKey.STARVATION_LIMIT_S, defaults.starvationLimitMicros()),
            number(OperatorKey.HEADROOM_DEVIATIONS, defaults.headroomDeviations()),
            number(OperatorKey.SPOT_RISK_PREMIUM, defaults.spotRiskPremium()),
            ownedHourlyCosts());
    if (!unreadKeys.isEmpty()) {
      throw error(unreadKeys.keySet().iterator().next() + " is unknown");
    }
    if (parameters.leaseRenewalIntervalMicros() * 2 + parameters.leaseSafetyMarginMicros()
        > parameters.leaseTtlMicros()) {
      throw error(
          OperatorKey.LEASE_TTL_S.text()
              + " must exceed twice "
              + OperatorKey.LEASE_RENEWAL_INTERVAL_S.text()
              + " and "
              + OperatorKey.LEASE_SAFETY_MARGIN_S.text());
    }
    return parameters;
  }

  private Map<String, Double> ownedHourlyCosts() throws SettingsException {
    Object table = unreadKeys.remove(OWNED_HOURLY);
    if (table == null) {
      return Map.of();
    }
    if (!(table instanceof Map<?, ?> map)) {
      throw error(OWNED_HOURLY + " must be a table of machine type names and hourly costs");
    }
    Map<String, Double> costs = new HashMap<>();
    for (Map.Entry<?, ?> entry : map.entrySet()) {
      if (!(entry.getValue() instanceof Number cost)
          || !(cost.doubleValue() >= 0 && cost.doubleValue() < MAX_OWNED_HOURLY)) {
        throw error(OWNED_HOURLY + "." + entry.getKey() + " must be a cost from 0 to below 1e9");
      }
      costs.put(String.valueOf(entry.getKey()), cost.doubleValue());
    }
    return Map.copyOf(costs);
  }

  private double number(OperatorKey key, double defaultValue) throws SettingsException {
    Object value = unreadKeys.remove(key.text());
    if (value == null) {
      return defaultValue;
    }
    if (!(value instanceof Number number)) {
      throw error(key.text() + " must be a number");
    }
    if (!key.accepts(number.doubleValue())) {
      throw error(key.text() + " must be from " + key.min() + " to " + key.max());
    }
    return number.doubleValue();
  }

  private long durationMicros(OperatorKey key, long defaultMicros) throws SettingsException {
    return Math.round(number(key, defaultMicros / MICROS_PER_SECOND) * MICROS_PER_SECOND);
  }

  private SettingsException error(String reason) {
    return new SettingsException(file + ": " + reason);
  }
}
