package plumlever.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.ConnectorStatistics;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.Options;
import org.xnio.XnioWorker;
import plumlever.settings.Endpoint;
import plumlever.wire.HttpStatus;

/** Undertow listeners that hand whole requests to a handler on the loop. */
public final class Server implements AutoCloseable {
  /** Takes requests, on the loop. */
  public interface RequestHandler {
    void handle(String method, String path, byte[] body, Responder responder);
  }

  public static final int MAX_BODY_BYTES = 64 * 1024;

  private static final Logger LOG = LoggerFactory.getLogger(Server.class);

  /** All workers of a controller that ends come over within a second or two. */
  private static final int BACKLOG = 8 * 1024;

  /** From this part of the connections on they are short. */
  public static final double SCARCE_CONNECTIONS_SHARE = 0.9;

  private static final int PARSE_MS = 10_000;

  private final Undertow undertow;
  private final int scarceFrom;
  private ConnectorStatistics statistics;

  /**
   * @param idleMicros a connection silent for longer is taken for dead: machines that are taken
   *     away close none
   */
  public Server(
      XnioWorker worker,
      Endpoint at,
      int maxConnections,
      long idleMicros,
      long maxBody,
      RequestHandler handler) {
    int idleMs = (int) (idleMicros / 1_000);
    scarceFrom = (int) (maxConnections * SCARCE_CONNECTIONS_SHARE);
    undertow =
        Undertow.builder()
            .setWorker(worker)
            .setBufferSize(8 * 1024)
            .setDirectBuffers(false)
            .addHttpListener(at.port(), at.host())
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, maxBody)
            .setServerOption(UndertowOptions.IDLE_TIMEOUT, idleMs)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleMs)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_MS)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, 16 * 1024)
            .setServerOption(UndertowOptions.ENABLE_STATISTICS, true)
            .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setSocketOption(Options.BACKLOG, BACKLOG)
            .setSocketOption(Options.CONNECTION_HIGH_WATER, maxConnections)
            .setSocketOption(Options.CONNECTION_LOW_WATER, maxConnections)
            .setHandler(exchange -> receive(exchange, handler))
            .build();
  }

  public void start() {
    undertow.start();
    statistics = undertow.getListenerInfo().get(0).getConnectorStatistics();
  }

  /** Connections that are open now. */
  public long connections() {
    return statistics.getActiveConnections();
  }

  /** The port in use, for a listener that was started on port 0. */
  public int port() {
    return ((java.net.InetSocketAddress) undertow.getListenerInfo().get(0).getAddress()).getPort();
  }

  @Override
  public void close() {
    undertow.stop();
  }

  private void receive(HttpServerExchange exchange, RequestHandler handler) {
    if (exchange.getRequestContentLength() > exchange.getMaxEntitySize()) {
      exchange.setPersistent(false);
      new ExchangeResponder(exchange).error(HttpStatus.PAYLOAD_TOO_LARGE, "the body is too long");
      return;
    }
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (ex, body) ->
                ex.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> {
                      Responder responder = new ExchangeResponder(ex);
                      try {
                        String query = ex.getQueryString();
                        handler.handle(
                            ex.getRequestMethod().toString(),
                            query.isEmpty()
                                ? ex.getRequestPath()
                                : ex.getRequestPath() + "?" + query,
                            body,
                            responder);
                      } catch (RuntimeException e) {
                        LOG.error("{} {} failed", ex.getRequestMethod(), ex.getRequestPath(), e);
                        responder.retryLater(HttpStatus.UNAVAILABLE, "internal error", 1);
                      }
                    }),
            (ex, e) -> {
              ex.setPersistent(false);
              new ExchangeResponder(ex)
                  .error(
                      e instanceof RequestTooBigException
                          ? HttpStatus.PAYLOAD_TOO_LARGE
                          : HttpStatus.BAD_REQUEST,
                      "the body can't be read");
            });
  }

  private final class ExchangeResponder implements Responder {
    private final HttpServerExchange exchange;
    private boolean sent;

    ExchangeResponder(HttpServerExchange exchange) {
      this.exchange = exchange;
    }

    @Override
    public boolean connectionsScarce() {
      return statistics != null && connections() > scarceFrom;
    }

    @Override
    public void closeConnection() {
      exchange.setPersistent(false);
    }

    @Override
    public void send(int status, String json, int retryAfterS) {
      if (sent || exchange.isResponseStarted()) {
        return;
      }
      sent = true;
      exchange.setStatusCode(status);
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
      if (retryAfterS > 0) {
        exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterS);
      }
      exchange.getResponseSender().send(ByteBuffer.wrap(json.getBytes(StandardCharsets.UTF_8)));
    }
  }
}
