package plumlever.http;

import io.undertow.connector.ByteBufferPool;
import java.util.HashMap;
import java.util.Map;
import org.xnio.XnioIoThread;
import plumlever.concurrent.Loop;
import plumlever.settings.Endpoint;

/**
 * Outgoing requests over Undertow's client on the loop's own thread: a bounded pool of kept
 * connections for each address, one request at a time on each. A request is never repeated here,
 * because only the caller knows whether it may be.
 */
public final class UndertowCaller implements Caller, AutoCloseable {
  private final Loop loop;
  private final ConnectionFactory connections;
  private final Map<Endpoint, ConnectionPool> pools = new HashMap<>();
  private final IdleConnections idle = new IdleConnections();

  /** A client whose connections belong to this thread. */
  public UndertowCaller(Loop loop, XnioIoThread thread, ByteBufferPool buffers) {
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
    call.timeOutWith(loop.after(timeoutMicros, call::giveUp));
    pool.submit(call);
  }

  private ConnectionPool createPool(Endpoint to) {
    return new ConnectionPool(to, idle, unused -> pools.remove(to, unused));
  }

  @Override
  public void close() {
    idle.closeAll();
  }
}
