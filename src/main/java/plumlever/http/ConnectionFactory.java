package plumlever.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.http.HttpClientProvider;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.net.URI;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;
import plumlever.settings.Endpoint;

/** Opens client connections that run on one I/O thread and share its buffer pool. */
final class ConnectionFactory {
  private final HttpClientProvider provider = new HttpClientProvider();
  private final XnioIoThread thread;
  private final ByteBufferPool buffers;

  ConnectionFactory(XnioIoThread thread, ByteBufferPool buffers) {
    this.thread = thread;
    this.buffers = buffers;
  }

  /** Opens a connection; the callback runs on the I/O thread. */
  void connect(Endpoint to, ClientCallback<ClientConnection> callback) {
    provider.connect(
        callback, null, URI.create("http://" + to), thread, null, buffers, OptionMap.EMPTY);
  }

  /** Allocates a buffer that the caller has to close. */
  PooledByteBuffer allocateBuffer() {
    return buffers.allocate();
  }
}
