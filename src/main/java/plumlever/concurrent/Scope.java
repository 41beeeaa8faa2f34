package plumlever.concurrent;

import java.util.ArrayDeque;
import java.util.Deque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns closeable objects, its children, and closes them in the reverse order of their registration.
 */
public final class Scope implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Scope.class);

  private final Deque<AutoCloseable> children = new ArrayDeque<>();
  private boolean closed;

  /**
   * Adds an object that is closed when this scope is closed; if the scope is already closed, the
   * object is closed immediately. Returns the object.
   */
  public <T extends AutoCloseable> T own(T child) {
    if (closed) {
      closeChild(child);
    } else {
      children.push(child);
    }
    return child;
  }

  /** Returns true after the scope has been closed. */
  public boolean closed() {
    return closed;
  }

  @Override
  public void close() {
    closed = true;
    while (!children.isEmpty()) {
      closeChild(children.pop());
    }
  }

  private static void closeChild(AutoCloseable child) {
    try {
      child.close();
    } catch (Exception e) {
      // A child that cannot be closed must not prevent the other children from being closed.
      LOG.warn("failed to close a child of the scope", e);
    }
  }
}
