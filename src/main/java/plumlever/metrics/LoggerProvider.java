package plumlever.metrics;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Provides a logger for each class, so that the log lines of the JVM warm-up can be distinguished
 * from the log lines of the service.
 */
public interface LoggerProvider {
  /** Provides the loggers used by the running service (not by the JVM warm-up). */
  LoggerProvider SERVICE = LoggerFactory::getLogger;

  /** Returns the logger of the class. */
  Logger of(Class<?> owner);
}
