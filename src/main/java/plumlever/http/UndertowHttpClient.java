package plumlever.http;

import io.undertow.connector.ByteBufferPool;
import java.util.HashMap;
import java.util.Map;
import org.xnio.XnioIoThread;
import plumlever.concurrent.EventLoop;
import plumlever.settings.Endpoint;

/**
 * Sends requests with Undertow's HTTP client on the event loop's I/O thread. Each endpoint has a
 * bounded pool of persistent connections with one request at a time per connection. Requests are
 * never retried here, because only the caller knows whether a request is idempotent.
 */
public final class UndertowHttpClient implements HttpClient, AutoCloseable {
  private final EventLoop loop;
  private final ConnectionFactory connections;
  private final Map<Endpoint, ConnectionPool> pools = new HashMap<>();
  private final IdleConnections idleConnections = new IdleConnections();

  /** Creates a client whose connections run on this I/O thread. */
  public UndertowHttpClient(EventLoop loop, XnioIoThread thread, ByteBufferPool buffers) {
    this.loop = loop;
    this.connections = new ConnectionFactory(thread, buffers);
  }

  @Override
  public void call(
      Endpoint to,
      String method,
      String path,
      byte[] body,
      long timeoutMicros,
      ResponseHandler handler) {
    ConnectionPool pool = pools.computeIfAbsent(to, this::createPool);
    OutgoingCall call = new OutgoingCall(connections, pool, method, path, body, handler);
    call.setTimeoutTimer(loop.after(timeoutMicros, call::abandon));
    pool.submit(call);
  }

  private ConnectionPool createPool(Endpoint to) {
    return new ConnectionPool(to, idleConnections, unused -> pools.remove(to, unused));
  }

  @Override
  public void close() {
    idleConnections.closeAll();
  }
}
