package plumlever.metrics;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Provides loggers by class, so that the lines of the JVM warm-up can be told from the service's
 * own.
 */
public interface Logs {
  /** The service's own lines. */
  Logs SERVICE = LoggerFactory::getLogger;

  /** The logger of the class. */
  Logger of(Class<?> owner);
}
