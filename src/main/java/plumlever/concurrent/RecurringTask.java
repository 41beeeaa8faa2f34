package plumlever.concurrent;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An action that runs on the loop again and again until it is closed. */
public final class RecurringTask implements AutoCloseable {
  /** What is repeated. */
  public interface Action {
    /**
     * Runs once.
     *
     * @return the pause until the next run in microseconds; negative to run again only after {@link
     *     #runAfter}
     */
    long run();
  }

  private static final Logger LOG = LoggerFactory.getLogger(RecurringTask.class);
  private static final long PAUSE_AFTER_FAILURE_MICROS = 1_000_000;

  private final String name;
  private final Loop loop;
  private final Action action;
  private Loop.Timer timer;
  private boolean closed;
  private boolean running;

  /**
   * A task that does nothing until it is started.
   *
   * @param name for the log
   */
  public RecurringTask(String name, Loop loop, Action action) {
    this.name = name;
    this.loop = loop;
    this.action = action;
  }

  /** Has the first run come soon. */
  public RecurringTask start() {
    runAfter(0);
    return this;
  }

  /** Has the next run come after this pause, whatever was planned; without effect once closed. */
  public void runAfter(long micros) {
    if (closed) {
      return;
    }
    if (timer != null) {
      timer.cancel();
    }
    timer = loop.after(micros, this::runNow);
  }

  private void runNow() {
    timer = null;
    if (closed || running) {
      return;
    }
    running = true;
    long pauseMicros;
    try {
      pauseMicros = action.run();
    } catch (RuntimeException e) {
      // Without further runs the controller would keep going without one of its parts.
      LOG.error("recurring task {} failed, tried again in a second", name, e);
      pauseMicros = PAUSE_AFTER_FAILURE_MICROS;
    } finally {
      running = false;
    }
    if (pauseMicros >= 0 && timer == null) {
      runAfter(pauseMicros);
    }
  }

  @Override
  public void close() {
    closed = true;
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }
}
