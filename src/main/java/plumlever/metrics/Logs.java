package plumlever.metrics;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gives loggers by class, so that what a controller plays to itself can be told from what it does.
 */
public interface Logs {
  /** The service's own lines. */
  Logs SERVICE = LoggerFactory::getLogger;

  Logger of(Class<?> owner);
}
