package plumlever.http;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import plumlever.concurrent.Loop;

/**
 * The loop on an XNIO I/O thread, so that requests, answers and decisions need no hand-over between
 * threads.
 */
public final class XnioLoop implements Loop {
  private static final Logger LOG = LoggerFactory.getLogger(XnioLoop.class);

  private final XnioIoThread thread;

  /** Runs everything on this thread. */
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

  /** Actions that are due after the process has begun to stop have nobody left to tell. */
  private static void logDropped(RejectedExecutionException rejection) {
    LOG.debug("dropped, the thread is ending: {}", rejection.toString());
  }

  /** An action that is due at once, and has no timer that could be removed. */
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
