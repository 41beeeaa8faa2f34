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
  private final IdleConnections allIdleConnections;
  private final Consumer<ConnectionPool> onUnused;
  private final Deque<ClientConnection> idleConnections = new ArrayDeque<>();
  private final Deque<OutgoingCall> waitingCalls = new ArrayDeque<>();
  private int startedCalls;

  /**
   * @param onUnused called when the pool has no idle connection, no call in progress and no waiting
   *     call
   */
  ConnectionPool(
      Endpoint endpoint, IdleConnections allIdleConnections, Consumer<ConnectionPool> onUnused) {
    this.endpoint = endpoint;
    this.allIdleConnections = allIdleConnections;
    this.onUnused = onUnused;
  }

  Endpoint endpoint() {
    return endpoint;
  }

  /**
   * Starts the call now or, if the pool's connections are all in use, later. Fails the call if the
   * queue of waiting calls is full.
   */
  void submit(OutgoingCall call) {
    if (startedCalls < MAX_CONNECTIONS) {
      startedCalls++;
      call.start();
    } else if (waitingCalls.size() < MAX_WAITING_CALLS) {
      waitingCalls.add(call);
    } else {
      call.abandon();
    }
  }

  /** Takes an open idle connection out of the pool for a call; empty if the pool has none. */
  Optional<ClientConnection> takeIdle() {
    ClientConnection connection;
    while ((connection = idleConnections.poll()) != null) {
      allIdleConnections.remove(connection);
      if (connection.isOpen()) {
        return Optional.of(connection);
      }
      IoUtils.safeClose(connection);
    }
    return Optional.empty();
  }

  /**
   * Ends a call that had started, so that it no longer counts towards the pool's limit, and starts
   * waiting calls.
   *
   * @param reusable the call's connection if another call can reuse it
   */
  void release(Optional<ClientConnection> reusable) {
    startedCalls--;
    reusable.filter(ClientConnection::isOpen).ifPresent(this::addIdle);
    startWaitingCalls();
    reportIfUnused();
  }

  private void addIdle(ClientConnection connection) {
    idleConnections.push(connection);
    allIdleConnections.add(connection, this);
  }

  private void startWaitingCalls() {
    while (!waitingCalls.isEmpty() && startedCalls < MAX_CONNECTIONS) {
      OutgoingCall next = waitingCalls.poll();
      if (!next.finished()) {
        startedCalls++;
        next.start();
      }
    }
  }

  /** Removes an idle connection from the pool and closes the connection. */
  void evict(ClientConnection connection) {
    idleConnections.remove(connection);
    IoUtils.safeClose(connection);
    reportIfUnused();
  }

  /**
   * Calls the handler for unused pools if this pool is unused, so that the pool is removed.
   * Machines are rented and returned all the time, so the pools of their endpoints would otherwise
   * accumulate.
   */
  private void reportIfUnused() {
    if (startedCalls == 0 && idleConnections.isEmpty() && waitingCalls.isEmpty()) {
      onUnused.accept(this);
    }
  }
}
