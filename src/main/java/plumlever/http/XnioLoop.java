package plumlever.http;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import plumlever.concurrent.EventLoop;

/**
 * The event loop on an XNIO I/O thread. Requests, responses and scheduling decisions run on the
 * same thread and need no hand-off between threads.
 */
public final class XnioLoop implements EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(XnioLoop.class);

  private final XnioIoThread thread;

  /** Creates an event loop on this I/O thread. */
  public XnioLoop(XnioIoThread thread) {
    this.thread = thread;
  }

  @Override
  public long nowMicros() {
    return System.nanoTime() / 1_000;
  }

  @Override
  public long wallMicros() {
    return System.currentTimeMillis() * 1_000;
  }

  @Override
  public Timer after(long delayMicros, Runnable action) {
    if (delayMicros <= 0) {
      CancellableAction cancellable = new CancellableAction(action);
      execute(cancellable);
      return cancellable;
    }
    try {
      XnioExecutor.Key key = thread.executeAfter(action, delayMicros, TimeUnit.MICROSECONDS);
      return key::remove;
    } catch (RejectedExecutionException e) {
      logDropped(e);
      return () -> {};
    }
  }

  @Override
  public void execute(Runnable action) {
    try {
      thread.execute(action);
    } catch (RejectedExecutionException e) {
      logDropped(e);
    }
  }

  /**
   * Logs that the I/O thread rejected an action that became due during shutdown. The action can be
   * dropped, because no component waits for it any more.
   */
  private static void logDropped(RejectedExecutionException rejection) {
    LOG.debug("action dropped because the I/O thread is shutting down: {}", rejection.toString());
  }

  /**
   * An action that is due immediately. The I/O thread offers no way to remove such an action, so
   * cancellation sets a flag.
   */
  private static final class CancellableAction implements Runnable, Timer {
    private final Runnable action;
    private boolean cancelled;

    CancellableAction(Runnable action) {
      this.action = action;
    }

    @Override
    public void run() {
      if (!cancelled) {
        action.run();
      }
    }

    @Override
    public void cancel() {
      cancelled = true;
    }
  }
}
