package plumlever.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.ConnectorStatistics;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.Options;
import org.xnio.XnioWorker;
import plumlever.settings.Endpoint;
import plumlever.wire.HttpStatus;

/** An Undertow listener that hands whole requests to a handler on the loop. */
public final class Server implements AutoCloseable {
  /** Takes requests, on the loop. */
  public interface RequestHandler {
    /**
     * Takes one request, to be answered now or later.
     *
     * @param path with the query, if there is one
     * @param body empty for none
     */
    void handle(String method, String path, byte[] body, Responder responder);
  }

  public static final int MAX_BODY_BYTES = 64 * 1024;

  /** From this share of the connections on they are scarce. */
  public static final double SCARCE_CONNECTIONS_SHARE = 0.9;

  private static final Logger LOG = LoggerFactory.getLogger(Server.class);

  /** All workers of a controller that ends come over within a second or two. */
  private static final int BACKLOG = 8 * 1024;

  private static final int PARSE_TIMEOUT_MS = 10_000;
  private static final int BUFFER_BYTES = 8 * 1024;
  private static final int MAX_HEADER_BYTES = 16 * 1024;

  private final Undertow undertow;
  private final RequestHandler handler;
  private final int scarceFrom;
  private ConnectorStatistics statistics;

  /**
   * A listener that does nothing until it is started.
   *
   * @param idleMicros a connection silent for longer is taken for dead: machines that are taken
   *     away close none
   */
  public Server(
      XnioWorker worker,
      Endpoint at,
      int maxConnections,
      long idleMicros,
      long maxBodyBytes,
      RequestHandler handler) {
    this.handler = handler;
    this.scarceFrom = (int) (maxConnections * SCARCE_CONNECTIONS_SHARE);
    int idleMs = (int) (idleMicros / 1_000);
    this.undertow =
        Undertow.builder()
            .setWorker(worker)
            .setBufferSize(BUFFER_BYTES)
            .setDirectBuffers(false)
            .addHttpListener(at.port(), at.host())
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, maxBodyBytes)
            .setServerOption(UndertowOptions.IDLE_TIMEOUT, idleMs)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleMs)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MS)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
            .setServerOption(UndertowOptions.ENABLE_STATISTICS, true)
            .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setSocketOption(Options.BACKLOG, BACKLOG)
            .setSocketOption(Options.CONNECTION_HIGH_WATER, maxConnections)
            .setSocketOption(Options.CONNECTION_LOW_WATER, maxConnections)
            .setHandler(this::receive)
            .build();
  }

  /** Begins to accept connections. */
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
    return ((InetSocketAddress) undertow.getListenerInfo().get(0).getAddress()).getPort();
  }

  @Override
  public void close() {
    undertow.stop();
  }

  private void receive(HttpServerExchange exchange) {
    if (exchange.getRequestContentLength() > exchange.getMaxEntitySize()) {
      refuse(exchange, HttpStatus.PAYLOAD_TOO_LARGE, "the body is too long");
      return;
    }
    exchange.getRequestReceiver().receiveFullBytes(this::received, this::unreadable);
  }

  private void received(HttpServerExchange exchange, byte[] body) {
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handle(exchange, body));
  }

  private void handle(HttpServerExchange exchange, byte[] body) {
    Responder responder = new ExchangeResponder(exchange);
    try {
      handler.handle(
          exchange.getRequestMethod().toString(), pathAndQuery(exchange), body, responder);
    } catch (RuntimeException e) {
      LOG.error("{} {} failed", exchange.getRequestMethod(), exchange.getRequestPath(), e);
      responder.retryLater(HttpStatus.UNAVAILABLE, "internal error", 1);
    }
  }

  private static String pathAndQuery(HttpServerExchange exchange) {
    String query = exchange.getQueryString();
    return query.isEmpty() ? exchange.getRequestPath() : exchange.getRequestPath() + "?" + query;
  }

  private void unreadable(HttpServerExchange exchange, IOException failure) {
    int status =
        failure instanceof RequestTooBigException
            ? HttpStatus.PAYLOAD_TOO_LARGE
            : HttpStatus.BAD_REQUEST;
    refuse(exchange, status, "the body can't be read");
  }

  /** What is left of the request is not read, so the connection can't be used again. */
  private void refuse(HttpServerExchange exchange, int status, String reason) {
    exchange.setPersistent(false);
    new ExchangeResponder(exchange).error(status, reason);
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
