package plumlever.cli;

import java.util.Locale;

/** Sets logging up before the first logger is made. */
final class Logging {
  private static final String SIMPLE = "org.slf4j.simpleLogger.";

  private Logging() {}

  static void configure(String level) {
    String wanted = level == null ? "info" : level.trim().toLowerCase(Locale.ROOT);
    if (!wanted.equals("error") && !wanted.equals("debug") && !wanted.equals("info")) {
      System.err.println("plumlever: LOG_LEVEL " + level + " is unknown, info is used");
      wanted = "info";
    }
    System.setProperty(SIMPLE + "defaultLogLevel", "warn");
    System.setProperty(SIMPLE + "log.plumlever", wanted);
    System.setProperty(SIMPLE + "showDateTime", "true");
    System.setProperty(SIMPLE + "dateTimeFormat", "yyyy-MM-dd'T'HH:mm:ss.SSSXXX");
    System.setProperty(SIMPLE + "showThreadName", "false");
    System.setProperty(SIMPLE + "showShortLogName", "true");
    System.setProperty(SIMPLE + "logFile", "System.err");
    System.setProperty("org.jboss.logging.provider", "slf4j");
  }
}
