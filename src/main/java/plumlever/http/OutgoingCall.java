package plumlever.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import plumlever.concurrent.EventLoop;

/** An outgoing HTTP request and its response. The handler is called exactly once. */
final class OutgoingCall {
  private static final Logger LOG = LoggerFactory.getLogger(OutgoingCall.class);
  private static final int MAX_BODY_BYTES = 8 << 20;
  private static final int INITIAL_BODY_CAPACITY_BYTES = 512;
  private static final byte[] EMPTY_BODY = new byte[0];

  private final ConnectionFactory connections;
  private final ConnectionPool pool;
  private final String method;
  private final String path;
  private final byte[] body;
  private final HttpClient.ResponseHandler handler;
  private Optional<EventLoop.Timer> timeout = Optional.empty();
  private Optional<ClientConnection> connection = Optional.empty();
  private boolean started;
  private boolean finished;

  /**
   * @param body the request body, or null for none
   */
  OutgoingCall(
      ConnectionFactory connections,
      ConnectionPool pool,
      String method,
      String path,
      byte[] body,
      HttpClient.ResponseHandler handler) {
    this.connections = connections;
    this.pool = pool;
    this.method = method;
    this.path = path;
    this.body = body;
    this.handler = handler;
  }

  /**
   * Sets the timer that ends the call after the timeout. The timer is cancelled when the call
   * finishes.
   */
  void setTimeoutTimer(EventLoop.Timer timer) {
    timeout = Optional.of(timer);
  }

  boolean finished() {
    return finished;
  }

  /**
   * Starts the call. The pool calls this method when the number of calls in progress to the
   * endpoint is below the limit.
   */
  void start() {
    started = true;
    Optional<ClientConnection> idle = pool.takeIdle();
    if (idle.isPresent()) {
      send(idle.get());
    } else {
      connections.connect(
          pool.endpoint(),
          callback(
              this::handleConnection,
              failure -> {
                LOG.debug("connecting to {} failed: {}", pool.endpoint(), failure.toString());
                abandon();
              }));
    }
  }

  private void handleConnection(ClientConnection opened) {
    if (finished) {
      // The call timed out while the connection was being opened, and the pool no longer counts it.
      // The connection cannot be returned to the pool and is closed.
      IoUtils.safeClose(opened);
    } else {
      send(opened);
    }
  }

  private void send(ClientConnection target) {
    connection = Optional.of(target);
    target.sendRequest(request(), callback(this::handleExchange, this::fail));
  }

  private ClientRequest request() {
    ClientRequest request = new ClientRequest().setMethod(new HttpString(method)).setPath(path);
    request.getRequestHeaders().put(Headers.HOST, pool.endpoint().toString());
    if (body != null) {
      request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
      request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
    } else if (!method.equals("GET")) {
      request.getRequestHeaders().put(Headers.CONTENT_LENGTH, 0);
    }
    return request;
  }

  private void handleExchange(ClientExchange exchange) {
    exchange.setResponseListener(callback(this::receive, this::fail));
    if (body != null && body.length > 0) {
      write(exchange.getRequestChannel(), ByteBuffer.wrap(body));
    }
  }

  private static <T> ClientCallback<T> callback(
      Consumer<T> completed, Consumer<IOException> failed) {
    return new ClientCallback<>() {
      @Override
      public void completed(T result) {
        completed.accept(result);
      }

      @Override
      public void failed(IOException failure) {
        failed.accept(failure);
      }
    };
  }

  private void write(StreamSinkChannel channel, ByteBuffer data) {
    try {
      while (data.hasRemaining()) {
        if (channel.write(data) == 0) {
          channel.getWriteSetter().set(writable -> write(writable, data));
          channel.resumeWrites();
          return;
        }
      }
      channel.shutdownWrites();
      if (!channel.flush()) {
        channel.getWriteSetter().set(this::flush);
        channel.resumeWrites();
      }
    } catch (IOException e) {
      fail(e);
    }
  }

  private void flush(StreamSinkChannel channel) {
    try {
      if (channel.flush()) {
        channel.suspendWrites();
      }
    } catch (IOException e) {
      fail(e);
    }
  }

  private void receive(ClientExchange exchange) {
    int status = exchange.getResponse().getResponseCode();
    read(
        exchange.getResponseChannel(),
        new ByteArrayOutputStream(INITIAL_BODY_CAPACITY_BYTES),
        status);
  }

  private void read(StreamSourceChannel channel, ByteArrayOutputStream received, int status) {
    try (PooledByteBuffer pooled = connections.allocateBuffer()) {
      ByteBuffer buffer = pooled.getBuffer();
      while (true) {
        buffer.clear();
        int count = channel.read(buffer);
        if (count < 0) {
          finish(status, received.toByteArray(), connection);
          return;
        }
        if (count == 0) {
          channel.getReadSetter().set(readable -> read(readable, received, status));
          channel.resumeReads();
          return;
        }
        buffer.flip();
        received.write(
            buffer.array(), buffer.arrayOffset() + buffer.position(), buffer.remaining());
        if (received.size() > MAX_BODY_BYTES) {
          throw new IOException("response body exceeds " + MAX_BODY_BYTES + " bytes");
        }
      }
    } catch (IOException e) {
      fail(e);
    }
  }

  private void fail(IOException failure) {
    LOG.debug(
        "{} {} to {} failed without a response: {}",
        method,
        path,
        pool.endpoint(),
        failure.toString());
    abandon();
  }

  /** Ends the call without a response. The server may or may not execute the request. */
  void abandon() {
    finish(0, EMPTY_BODY, Optional.empty());
  }

  /**
   * @param reusable the connection if another call can reuse the connection; otherwise empty
   */
  private void finish(int status, byte[] data, Optional<ClientConnection> reusable) {
    if (finished) {
      return;
    }
    finished = true;
    timeout.ifPresent(EventLoop.Timer::cancel);
    if (started) {
      if (reusable.isEmpty()) {
        connection.ifPresent(IoUtils::safeClose);
      }
      pool.release(reusable);
    }
    handler.handle(status, data);
  }
}
