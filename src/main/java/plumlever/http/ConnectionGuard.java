package plumlever.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Keeps connections without a complete request from occupying a listener. A request that has not
 * been received within the deadline ends its connection, however steadily its bytes arrive. Near
 * the listener's limit of connections, each accepted connection replaces the one that has been
 * waiting longest for a complete request, so that a client that sends its request at once is always
 * served.
 *
 * <p>Used on the listener's I/O thread only.
 */
final class ConnectionGuard {
  /**
   * The time within which a request must have been received, from its first byte. No client waits
   * longer than that for its response.
   */
  static final long REQUEST_DEADLINE_MICROS = 5_000_000;

  /** A connection that has been accepted and is open as far as this class knows. */
  private final class Guarded {
    private final StreamConnection connection;
    private boolean receiving;
    private long receivingSinceMicros;

    /** True once a check has found the request overdue; the rest may have arrived unread. */
    private boolean foundOverdue;

    Guarded(StreamConnection connection) {
      this.connection = connection;
    }

    private void bytesReceived() {
      if (!receiving) {
        receiving = true;
        foundOverdue = false;
        receivingSinceMicros = clockMicros.getAsLong();
        withoutRequest.remove(this);
        withoutRequest.add(this);
      }
    }

    private boolean isOverdue(long nowMicros) {
      return receiving && nowMicros - receivingSinceMicros >= REQUEST_DEADLINE_MICROS;
    }
  }

  private final LongSupplier clockMicros;

  /**
   * The connections that have sent no request yet, or only a part of one; those that have been in
   * this state for longest come first.
   */
  private final Set<Guarded> withoutRequest = new LinkedHashSet<>();

  private final Map<StreamConnection, Guarded> guardedByConnection = new IdentityHashMap<>();
  private long closedAsOverdue;
  private long closedForOthers;

  ConnectionGuard(LongSupplier clockMicros) {
    this.clockMicros = clockMicros;
  }

  /**
   * Registers an accepted connection; must be called before anything is read from it.
   *
   * @param nearLimit whether the listener has hardly any connection left
   */
  void accept(StreamConnection connection, boolean nearLimit) {
    if (nearLimit) {
      closeLongestWaiting();
    }
    Guarded guarded = new Guarded(connection);
    guardedByConnection.put(connection, guarded);
    withoutRequest.add(guarded);
    connection
        .getSourceChannel()
        .setConduit(
            new ObservedConduit(
                connection.getSourceChannel().getConduit(), guarded::bytesReceived));
  }

  /** Records that a complete request has been received over the connection. */
  void requestReceived(StreamConnection connection) {
    Guarded guarded = guardedByConnection.get(connection);
    if (guarded != null) {
      guarded.receiving = false;
      withoutRequest.remove(guarded);
    }
  }

  /** Records that the connection has been closed. */
  void closed(StreamConnection connection) {
    Guarded guarded = guardedByConnection.remove(connection);
    if (guarded != null) {
      withoutRequest.remove(guarded);
    }
  }

  private void closeLongestWaiting() {
    Optional<Guarded> longest =
        withoutRequest.stream().filter(guarded -> guarded.connection.isOpen()).findFirst();
    if (longest.isPresent()) {
      closedForOthers++;
      close(longest.get());
    }
  }

  /**
   * Closes the connections whose request was overdue at the last check already. After a pause of
   * the process, the first check may run before the bytes that arrived meanwhile are read.
   */
  void closeOverdue() {
    long now = clockMicros.getAsLong();
    List<Guarded> ended = new ArrayList<>();
    for (Guarded guarded : withoutRequest) {
      if (!guarded.connection.isOpen()) {
        ended.add(guarded);
      } else if (guarded.foundOverdue) {
        ended.add(guarded);
        closedAsOverdue++;
      } else {
        guarded.foundOverdue = guarded.isOverdue(now);
      }
    }
    ended.forEach(this::close);
  }

  private void close(Guarded guarded) {
    IoUtils.safeClose(guarded.connection);
    closed(guarded.connection);
  }

  /** The number of connections closed because their request was not received in time. */
  long closedAsOverdue() {
    return closedAsOverdue;
  }

  /** The number of connections without a request that were closed in favor of newer ones. */
  long closedForOthers() {
    return closedForOthers;
  }

  /** Reports each read of at least one byte. */
  private static final class ObservedConduit
      extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private final Runnable onBytes;

    ObservedConduit(StreamSourceConduit next, Runnable onBytes) {
      super(next);
      this.onBytes = onBytes;
    }

    private long observe(long count) {
      if (count > 0) {
        onBytes.run();
      }
      return count;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
      return (int) observe(next.read(target));
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
      return observe(next.read(targets, offset, length));
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
      return observe(next.transferTo(position, count, target));
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
        throws IOException {
      return observe(next.transferTo(count, throughBuffer, target));
    }
  }
}
