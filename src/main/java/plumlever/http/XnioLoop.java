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
      boolean[] off = new boolean[1];
      execute(
          () -> {
            if (!off[0]) {
              action.run();
            }
          });
      return () -> off[0] = true;
    }
    try {
      XnioExecutor.Key key = thread.executeAfter(action, delayMicros, TimeUnit.MICROSECONDS);
      return key::remove;
    } catch (RejectedExecutionException e) {
      return ending(e);
    }
  }

  @Override
  public void execute(Runnable action) {
    try {
      thread.execute(action);
    } catch (RejectedExecutionException e) {
      ending(e);
    }
  }

  /** Calls that break as the process stops have nobody left to tell. */
  private static Timer ending(RejectedExecutionException rejectedExecutionException) {
    LOG.debug("dropped, the thread is ending: {}", rejectedExecutionException.toString());
    return () -> {};
  }
}
