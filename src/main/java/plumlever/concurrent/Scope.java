package plumlever.concurrent;

import java.util.ArrayDeque;
import java.util.Deque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Owns children and closes them in the reverse order of their adoption. */
public final class Scope implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Scope.class);

  private final Deque<AutoCloseable> children = new ArrayDeque<>();
  private boolean closed;

  /** Closes the child with this scope; at once if the scope is closed already. */
  public <T extends AutoCloseable> T own(T child) {
    if (closed) {
      closeChild(child);
    } else {
      children.push(child);
    }
    return child;
  }

  /** True once the scope has been closed. */
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
      // Whatever it is, the other children are to be closed too.
      LOG.warn("a child could not be closed", e);
    }
  }
}
