package plumlever.concurrent;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An action that runs repeatedly on the event loop until the task is closed. */
public final class RecurringTask implements AutoCloseable {
  /** The action to repeat. */
  public interface Action {
    /**
     * Runs the action once.
     *
     * @return the delay until the next run in microseconds; negative if the next run should wait
     *     for a call of {@link #scheduleAfter}
     */
    long run();
  }

  private static final Logger LOG = LoggerFactory.getLogger(RecurringTask.class);
  private static final long PAUSE_AFTER_FAILURE_MICROS = 1_000_000;

  private final String name;
  private final EventLoop loop;
  private final Action action;
  private EventLoop.Timer timer;
  private boolean closed;
  private boolean running;

  /**
   * Creates a task that does not run until {@link #start} or {@link #scheduleAfter} is called.
   *
   * @param name the name of the task in log lines
   */
  public RecurringTask(String name, EventLoop loop, Action action) {
    this.name = name;
    this.loop = loop;
    this.action = action;
  }

  /** Schedules the first run without delay and returns this task. */
  public RecurringTask start() {
    scheduleAfter(0);
    return this;
  }

  /**
   * Schedules the next run after this delay and cancels a run that was scheduled before; has no
   * effect after the task is closed.
   */
  public void scheduleAfter(long micros) {
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
      // The task is retried after an unexpected exception. Otherwise the controller would keep
      // running without the work that the task does.
      LOG.error("recurring task {} failed; retrying in 1 s", name, e);
      pauseMicros = PAUSE_AFTER_FAILURE_MICROS;
    } finally {
      running = false;
    }
    if (pauseMicros >= 0 && timer == null) {
      scheduleAfter(pauseMicros);
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
