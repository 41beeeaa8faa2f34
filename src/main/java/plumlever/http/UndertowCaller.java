package plumlever.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.http.HttpClientProvider;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import plumlever.concurrent.Loop;
import plumlever.settings.Endpoint;

/**
 * Outgoing requests over Undertow's client on the loop's own thread: a bounded pool of kept
 * connections for each address, one request at a time on each. A request is never repeated here,
 * because only the caller knows whether it may be.
 */
public final class UndertowCaller implements Caller, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(UndertowCaller.class);
  private static final int MAX_CONNECTIONS_EACH = 12;
  private static final int MAX_WAITING_EACH = 64;

  /**
   * Connections kept for later, to all addresses: with a thousand machines to call they would use
   * up all sockets.
   */
  private static final int MAX_IDLE = 48;

  private static final int MAX_BODY = 8 << 20;
  private static final int USUAL_BODY = 512;
  private static final byte[] NO_BODY = new byte[0];

  private final Loop loop;
  private final XnioIoThread thread;
  private final ByteBufferPool buffers;
  private final HttpClientProvider provider = new HttpClientProvider();
  private final Map<Endpoint, Pool> pools = new HashMap<>();

  /** Kept connections with the pool of each, the one kept longest first. */
  private final LinkedHashMap<ClientConnection, Pool> idle = new LinkedHashMap<>();

  /** A client whose connections belong to this thread. */
  public UndertowCaller(Loop loop, XnioIoThread thread, ByteBufferPool buffers) {
    this.loop = loop;
    this.thread = thread;
    this.buffers = buffers;
  }

  @Override
  public void call(
      Endpoint to,
      String method,
      String path,
      byte[] body,
      long timeoutMicros,
      ResponseHandler handler) {
    Pool pool = pools.computeIfAbsent(to, Pool::new);
    Call call = new Call(pool, method, path, body, handler);
    call.timer = loop.after(timeoutMicros, () -> call.finish(0, NO_BODY, false));
    pool.submit(call);
  }

  @Override
  public void close() {
    idle.keySet().forEach(IoUtils::safeClose);
  }

  private final class Pool {
    private final Endpoint to;
    private final ArrayDeque<ClientConnection> kept = new ArrayDeque<>();
    private final ArrayDeque<Call> waiting = new ArrayDeque<>();
    private int inUse;

    Pool(Endpoint to) {
      this.to = to;
    }

    void submit(Call call) {
      if (inUse < MAX_CONNECTIONS_EACH) {
        inUse++;
        call.begin();
      } else if (waiting.size() < MAX_WAITING_EACH) {
        waiting.add(call);
      } else {
        call.finish(0, NO_BODY, false);
      }
    }

    /** A slot is free again; {@code connection} is null if it cannot be used again. */
    void release(ClientConnection connection) {
      inUse--;
      if (connection != null && connection.isOpen()) {
        kept.push(connection);
        idle.put(connection, this);
        if (idle.size() > MAX_IDLE) {
          Map.Entry<ClientConnection, Pool> eldest = idle.entrySet().iterator().next();
          idle.remove(eldest.getKey());
          eldest.getValue().kept.remove(eldest.getKey());
          IoUtils.safeClose(eldest.getKey());
          eldest.getValue().dropIfUnused();
        }
      }
      while (!waiting.isEmpty() && inUse < MAX_CONNECTIONS_EACH) {
        Call next = waiting.poll();
        if (!next.finished) {
          inUse++;
          next.begin();
        }
      }
      dropIfUnused();
    }

    /** Machines come and go; what was kept for their addresses goes as well. */
    private void dropIfUnused() {
      if (inUse == 0 && kept.isEmpty() && waiting.isEmpty()) {
        pools.remove(to, this);
      }
    }

    ClientConnection take() {
      ClientConnection clientConnection;
      while ((clientConnection = kept.poll()) != null) {
        idle.remove(clientConnection);
        if (clientConnection.isOpen()) {
          return clientConnection;
        }
        IoUtils.safeClose(clientConnection);
      }
      return null;
    }
  }

  private final class Call {
    private final Pool pool;
    private final String method;
    private final String path;
    private final byte[] body;
    private final ResponseHandler handler;
    private Loop.Timer timer;
    private ClientConnection connection;
    private boolean begun;
    private boolean finished;

    Call(Pool pool, String method, String path, byte[] body, ResponseHandler handler) {
      this.pool = pool;
      this.method = method;
      this.path = path;
      this.body = body;
      this.handler = handler;
    }

    void begin() {
      begun = true;
      ClientConnection kept = pool.take();
      if (kept != null) {
        send(kept);
        return;
      }
      provider.connect(
          new ClientCallback<>() {
            @Override
            public void completed(ClientConnection clientConnection) {
              if (finished) {
                // Given up while connecting; the slot went back already, so the connection is
                // closed.
                IoUtils.safeClose(clientConnection);
              } else {
                send(clientConnection);
              }
            }

            @Override
            public void failed(IOException failure) {
              LOG.debug("no connection to {}: {}", pool.to, failure.toString());
              finish(0, NO_BODY, false);
            }
          },
          null,
          URI.create("http://" + pool.to),
          thread,
          null,
          buffers,
          OptionMap.EMPTY);
    }

    private void send(ClientConnection clientConnection) {
      connection = clientConnection;
      ClientRequest request = new ClientRequest().setMethod(new HttpString(method)).setPath(path);
      request.getRequestHeaders().put(Headers.HOST, pool.to.toString());
      if (body != null) {
        request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
      } else if (!method.equals("GET")) {
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, 0);
      }
      clientConnection.sendRequest(
          request,
          new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
              exchange.setResponseListener(
                  new ClientCallback<>() {
                    @Override
                    public void completed(ClientExchange clientExchange) {
                      receive(clientExchange);
                    }

                    @Override
                    public void failed(IOException failure) {
                      broke(failure);
                    }
                  });
              if (body != null && body.length > 0) {
                write(exchange.getRequestChannel(), ByteBuffer.wrap(body));
              }
            }

            @Override
            public void failed(IOException failure) {
              broke(failure);
            }
          });
    }

    private void write(StreamSinkChannel channel, ByteBuffer data) {
      try {
        while (data.hasRemaining()) {
          if (channel.write(data) == 0) {
            channel.getWriteSetter().set(ch -> write(ch, data));
            channel.resumeWrites();
            return;
          }
        }
        channel.shutdownWrites();
        if (!channel.flush()) {
          channel
              .getWriteSetter()
              .set(
                  ch -> {
                    try {
                      if (ch.flush()) {
                        ch.suspendWrites();
                      }
                    } catch (IOException e) {
                      broke(e);
                    }
                  });
          channel.resumeWrites();
        }
      } catch (IOException e) {
        broke(e);
      }
    }

    private void receive(ClientExchange exchange) {
      int status = exchange.getResponse().getResponseCode();
      ByteArrayOutputStream into = new ByteArrayOutputStream(USUAL_BODY);
      read(exchange.getResponseChannel(), into, status);
    }

    private void read(StreamSourceChannel channel, ByteArrayOutputStream into, int status) {
      try (PooledByteBuffer pooled = buffers.allocate()) {
        ByteBuffer buffer = pooled.getBuffer();
        while (true) {
          buffer.clear();
          int count = channel.read(buffer);
          if (count < 0) {
            finish(status, into.toByteArray(), true);
            return;
          }
          if (count == 0) {
            channel.getReadSetter().set(ch -> read(ch, into, status));
            channel.resumeReads();
            return;
          }
          buffer.flip();
          into.write(buffer.array(), buffer.arrayOffset() + buffer.position(), buffer.remaining());
          if (into.size() > MAX_BODY) {
            throw new IOException("response is too long");
          }
        }
      } catch (IOException e) {
        broke(e);
      }
    }

    private void broke(IOException failure) {
      LOG.debug("{} {} at {} got no answer: {}", method, path, pool.to, failure.toString());
      finish(0, NO_BODY, false);
    }

    private void finish(int status, byte[] data, boolean reusable) {
      if (finished) {
        return;
      }
      finished = true;
      if (timer != null) {
        timer.cancel();
      }
      if (begun) {
        if (!reusable && connection != null) {
          IoUtils.safeClose(connection);
        }
        pool.release(reusable ? connection : null);
      }
      handler.handle(status, data);
    }
  }
}
