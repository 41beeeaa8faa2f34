package plumlever.http;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import plumlever.settings.Endpoint;

/** The connections to one endpoint, and the queue of calls that wait for a connection. */
final class ConnectionPool {
  private static final int MAX_CONNECTIONS = 12;
  private static final int MAX_WAITING_CALLS = 64;

  private final Endpoint endpoint;
  private final IdleConnections idle;
  private final Consumer<ConnectionPool> unused;
  private final Deque<ClientConnection> kept = new ArrayDeque<>();
  private final Deque<OutgoingCall> waiting = new ArrayDeque<>();
  private int inUse;

  /**
   * @param unused called when the pool has no open call, no idle connection and no waiting call
   */
  ConnectionPool(Endpoint endpoint, IdleConnections idle, Consumer<ConnectionPool> unused) {
    this.endpoint = endpoint;
    this.idle = idle;
    this.unused = unused;
  }

  Endpoint endpoint() {
    return endpoint;
  }

  /**
   * Starts the call now or when a connection becomes available. Fails the call if the queue is
   * full.
   */
  void submit(OutgoingCall call) {
    if (inUse < MAX_CONNECTIONS) {
      inUse++;
      call.begin();
    } else if (waiting.size() < MAX_WAITING_CALLS) {
      waiting.add(call);
    } else {
      call.giveUp();
    }
  }

  /** Takes an idle connection that is still open, for a call that has started. */
  Optional<ClientConnection> takeKept() {
    ClientConnection connection;
    while ((connection = kept.poll()) != null) {
      idle.remove(connection);
      if (connection.isOpen()) {
        return Optional.of(connection);
      }
      IoUtils.safeClose(connection);
    }
    return Optional.empty();
  }

  /**
   * Ends a call that had started.
   *
   * @param reusable the call's connection if another call can reuse it
   */
  void release(Optional<ClientConnection> reusable) {
    inUse--;
    reusable.filter(ClientConnection::isOpen).ifPresent(this::keep);
    beginWaiting();
    reportIfUnused();
  }

  private void keep(ClientConnection connection) {
    kept.push(connection);
    idle.add(connection, this);
  }

  private void beginWaiting() {
    while (!waiting.isEmpty() && inUse < MAX_CONNECTIONS) {
      OutgoingCall next = waiting.poll();
      if (!next.finished()) {
        inUse++;
        next.begin();
      }
    }
  }

  /** Closes an idle connection. */
  void evict(ClientConnection connection) {
    kept.remove(connection);
    IoUtils.safeClose(connection);
    reportIfUnused();
  }

  /**
   * Machines are rented and returned all the time, so the pools of their endpoints are removed when
   * unused.
   */
  private void reportIfUnused() {
    if (inUse == 0 && kept.isEmpty() && waiting.isEmpty()) {
      unused.accept(this);
    }
  }
}
