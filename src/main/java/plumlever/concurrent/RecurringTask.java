package plumlever.concurrent;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A long-lived activity that comes round on the loop, until cancelled. */
public final class RecurringTask implements AutoCloseable {
  /**
   * One turn; the answer is the pause until the next in microseconds, negative when the duty waits
   * to be woken.
   */
  public interface Action {
    long run();
  }

  private static final Logger LOG = LoggerFactory.getLogger(RecurringTask.class);
  private static final long AFTER_FAILURE_MICROS = 1_000_000;

  private final String name;
  private final Loop loop;
  private final Action turn;
  private Loop.Timer timer;
  private boolean cancelled;
  private boolean running;

  /** A task that does nothing until it is started. */
  public RecurringTask(String name, Loop loop, Action turn) {
    this.name = name;
    this.loop = loop;
    this.turn = turn;
  }

  public RecurringTask start() {
    runAfter(0);
    return this;
  }

  /** The next turn comes after this pause, whatever was planned. */
  public void runAfter(long micros) {
    if (cancelled) {
      return;
    }
    if (timer != null) {
      timer.cancel();
    }
    timer = loop.after(micros, this::turn);
  }

  private void turn() {
    timer = null;
    if (cancelled || running) {
      return;
    }
    running = true;
    long pause;
    try {
      pause = turn.run();
    } catch (RuntimeException e) {
      // A duty that died in silence would leave the controller half alive; it is tried again
      // instead.
      LOG.error("recurring task {} failed, tried again in a second", name, e);
      pause = AFTER_FAILURE_MICROS;
    } finally {
      running = false;
    }
    if (pause >= 0 && timer == null) {
      runAfter(pause);
    }
  }

  @Override
  public void close() {
    cancelled = true;
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }
}
