package plumlever.http;

import io.undertow.client.ClientConnection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.xnio.IoUtils;

/** The connections that the pools of all addresses keep for later, the one kept longest first. */
final class IdleConnections {
  /** With a thousand machines to call, more would use up all sockets. */
  private static final int MAX_IDLE = 48;

  private final LinkedHashMap<ClientConnection, ConnectionPool> poolByConnection =
      new LinkedHashMap<>();

  /** The pool keeps the connection; where that makes too many, the eldest is closed. */
  void add(ClientConnection connection, ConnectionPool pool) {
    poolByConnection.put(connection, pool);
    if (poolByConnection.size() > MAX_IDLE) {
      Map.Entry<ClientConnection, ConnectionPool> eldest =
          poolByConnection.entrySet().iterator().next();
      poolByConnection.remove(eldest.getKey());
      eldest.getValue().evict(eldest.getKey());
    }
  }

  /** The connection is in use again, or closed. */
  void remove(ClientConnection connection) {
    poolByConnection.remove(connection);
  }

  void closeAll() {
    poolByConnection.keySet().forEach(IoUtils::safeClose);
  }
}
