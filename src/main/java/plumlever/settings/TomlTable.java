package plumlever.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A table of a TOML file with type-checked access. Errors name the file and the key. */
final class TomlTable {
  private static final double MIN_SECONDS = 0.001;
  private static final double MAX_SECONDS = 1e9;
  private static final double MICROS_PER_SECOND = 1e6;

  private final String file;

  /**
   * Added before key names in error messages: the path of this table and a dot; empty for the root
   * table.
   */
  private final String prefix;

  private final JsonNode node;

  private TomlTable(String file, String prefix, JsonNode node) {
    this.file = file;
    this.prefix = prefix;
    this.node = node;
  }

  static TomlTable root(String file, JsonNode node) {
    return new TomlTable(file, "", node);
  }

  SettingsException error(String key, String reason) {
    return new SettingsException(file + ": " + prefix + key + " " + reason);
  }

  boolean has(String key) {
    return node.has(key);
  }

  /** Returns the subtable with this key, which is required. */
  TomlTable table(String key) throws SettingsException {
    JsonNode child = node.get(key);
    if (child == null || !child.isObject()) {
      throw error(key, child == null ? "is missing" : "must be a table");
    }
    return new TomlTable(file, prefix + key + ".", child);
  }

  /** Returns the list of tables with this key; empty if the key is missing. */
  List<TomlTable> tables(String key) throws SettingsException {
    JsonNode list = node.get(key);
    if (list == null) {
      return List.of();
    }
    if (!list.isArray()) {
      throw error(key, "must be a list of tables");
    }
    List<TomlTable> tables = new ArrayList<>();
    for (JsonNode child : list) {
      if (!child.isObject()) {
        throw error(key, "must be a list of tables");
      }
      tables.add(new TomlTable(file, prefix + key + "[" + tables.size() + "].", child));
    }
    return tables;
  }

  /** Returns the text with this key, which is required and must not be blank. */
  String text(String key) throws SettingsException {
    JsonNode value = node.get(key);
    if (value == null || !value.isTextual() || value.textValue().isBlank()) {
      throw error(key, value == null ? "is missing" : "must be a text that is not blank");
    }
    return value.textValue();
  }

  Optional<String> optionalText(String key) throws SettingsException {
    return node.hasNonNull(key) ? Optional.of(text(key)) : Optional.empty();
  }

  /** Returns the number with this key, which is required and must be within the range. */
  double number(String key, double min, double max) throws SettingsException {
    JsonNode value = node.get(key);
    if (value == null || !value.isNumber()) {
      throw error(key, value == null ? "is missing" : "must be a number");
    }
    double amount = value.doubleValue();
    if (!(amount >= min && amount <= max)) {
      throw error(key, "must be from " + min + " to " + max);
    }
    return amount;
  }

  /**
   * Returns the number with this key, which must be within the range; the default value if the key
   * is missing.
   */
  double number(String key, double min, double max, double defaultValue) throws SettingsException {
    return node.hasNonNull(key) ? number(key, min, max) : defaultValue;
  }

  /** Returns the duration with this required key in microseconds; the file gives it in seconds. */
  long durationMicros(String key) throws SettingsException {
    return Math.round(number(key, MIN_SECONDS, MAX_SECONDS) * MICROS_PER_SECOND);
  }

  /** Returns the network address (host and port) with this key, which is required. */
  Endpoint endpoint(String key) throws SettingsException {
    return Endpoint.parse(text(key)).orElseThrow(() -> error(key, "must be ADDRESS:PORT"));
  }
}
