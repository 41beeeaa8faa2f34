package plumlever.http;

import io.undertow.client.ClientConnection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.xnio.IoUtils;

/** The idle connections in the pools of all endpoints, oldest first. */
final class IdleConnections {
  /**
   * Maximum number of idle connections in the pools of all endpoints. There can be a thousand
   * machines to call, and more idle connections could use up all sockets.
   */
  private static final int MAX_IDLE = 48;

  private final LinkedHashMap<ClientConnection, ConnectionPool> poolByConnection =
      new LinkedHashMap<>();

  /**
   * Adds an idle connection of the pool. If there are then more than {@link #MAX_IDLE}, closes the
   * oldest one.
   */
  void add(ClientConnection connection, ConnectionPool pool) {
    poolByConnection.put(connection, pool);
    if (poolByConnection.size() > MAX_IDLE) {
      Map.Entry<ClientConnection, ConnectionPool> oldest =
          poolByConnection.entrySet().iterator().next();
      poolByConnection.remove(oldest.getKey());
      oldest.getValue().evict(oldest.getKey());
    }
  }

  /** Removes a connection that is in use again or closed. */
  void remove(ClientConnection connection) {
    poolByConnection.remove(connection);
  }

  void closeAll() {
    poolByConnection.keySet().forEach(IoUtils::safeClose);
  }
}
