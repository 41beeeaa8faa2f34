package plumlever.cli;

import java.util.Locale;
import java.util.Set;

/** Configures logging; must be called before the first logger is created. */
final class Logging {
  private static final String SIMPLE_LOGGER_PREFIX = "org.slf4j.simpleLogger.";
  private static final Set<String> LEVELS = Set.of("error", "info", "debug");
  private static final String DEFAULT_LEVEL = "info";

  private Logging() {}

  /**
   * Sets the level for plumlever's own loggers; libraries log warnings and errors only.
   *
   * @param level the value of the environment variable {@code LOG_LEVEL}; null if the variable is
   *     not set
   */
  static void configure(String level) {
    String effectiveLevel = level == null ? DEFAULT_LEVEL : level.trim().toLowerCase(Locale.ROOT);
    if (!LEVELS.contains(effectiveLevel)) {
      System.err.println("plumlever: LOG_LEVEL " + level + " is unknown; using info");
      effectiveLevel = DEFAULT_LEVEL;
    }
    System.setProperty(SIMPLE_LOGGER_PREFIX + "defaultLogLevel", "warn");
    System.setProperty(SIMPLE_LOGGER_PREFIX + "log.plumlever", effectiveLevel);
    System.setProperty(SIMPLE_LOGGER_PREFIX + "showDateTime", "true");
    System.setProperty(SIMPLE_LOGGER_PREFIX + "dateTimeFormat", "yyyy-MM-dd'T'HH:mm:ss.SSSXXX");
    System.setProperty(SIMPLE_LOGGER_PREFIX + "showThreadName", "false");
    System.setProperty(SIMPLE_LOGGER_PREFIX + "showShortLogName", "true");
    System.setProperty(SIMPLE_LOGGER_PREFIX + "logFile", "System.err");
    System.setProperty("org.jboss.logging.provider", "slf4j");
  }
}
