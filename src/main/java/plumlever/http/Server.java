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

/** An Undertow HTTP listener that passes complete requests to a handler on the event loop. */
public final class Server implements AutoCloseable {
  /** Handles requests on the event loop. */
  public interface RequestHandler {
    /**
     * Handles one request. The response may be sent later.
     *
     * @param path the path, including the query string if there is one
     * @param body the request body, empty for none
     */
    void handle(String method, String path, byte[] body, Responder responder);
  }

  public static final int MAX_BODY_BYTES = 64 * 1024;

  /**
   * The server counts as near its connection limit if more than this fraction of the limit is in
   * use.
   */
  public static final double NEAR_CONNECTION_LIMIT_FRACTION = 0.9;

  private static final Logger LOG = LoggerFactory.getLogger(Server.class);

  /**
   * Maximum number of connections that the operating system holds until the server accepts them.
   * Large enough for all workers of a failed controller, which reconnect within one or two seconds.
   */
  private static final int BACKLOG = 8 * 1024;

  private static final int PARSE_TIMEOUT_MS = 10_000;
  private static final int BUFFER_BYTES = 8 * 1024;
  private static final int MAX_HEADER_BYTES = 16 * 1024;

  private final Undertow undertow;
  private final RequestHandler handler;
  private final int nearConnectionLimitThreshold;
  private ConnectorStatistics statistics;

  /**
   * Creates a listener that accepts no connections until {@link #start}.
   *
   * @param idleMicros idle time after which a connection counts as dead and is closed, because a
   *     machine that has been preempted or returned does not close its connections
   */
  public Server(
      XnioWorker worker,
      Endpoint endpoint,
      int maxConnections,
      long idleMicros,
      long maxBodyBytes,
      RequestHandler handler) {
    this.handler = handler;
    this.nearConnectionLimitThreshold = (int) (maxConnections * NEAR_CONNECTION_LIMIT_FRACTION);
    int idleMs = (int) (idleMicros / 1_000);
    this.undertow =
        Undertow.builder()
            .setWorker(worker)
            .setBufferSize(BUFFER_BYTES)
            .setDirectBuffers(false)
            .addHttpListener(endpoint.port(), endpoint.host())
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

  /** Starts to accept connections. */
  public void start() {
    undertow.start();
    statistics = undertow.getListenerInfo().get(0).getConnectorStatistics();
  }

  /** The number of open connections. */
  public long connections() {
    return statistics.getActiveConnections();
  }

  /**
   * The port on which the server listens. If the configured port is 0, the operating system chooses
   * it.
   */
  public int port() {
    return ((InetSocketAddress) undertow.getListenerInfo().get(0).getAddress()).getPort();
  }

  @Override
  public void close() {
    undertow.stop();
  }

  private void receive(HttpServerExchange exchange) {
    if (exchange.getRequestContentLength() > exchange.getMaxEntitySize()) {
      reject(exchange, HttpStatus.PAYLOAD_TOO_LARGE, "the body is too long");
      return;
    }
    exchange.getRequestReceiver().receiveFullBytes(this::handleBody, this::handleBodyFailure);
  }

  private void handleBody(HttpServerExchange exchange, byte[] body) {
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handle(exchange, body));
  }

  private void handle(HttpServerExchange exchange, byte[] body) {
    Responder responder = new ExchangeResponder(exchange);
    try {
      handler.handle(
          exchange.getRequestMethod().toString(), pathAndQuery(exchange), body, responder);
    } catch (RuntimeException e) {
      LOG.error(
          "request {} {} failed with an unexpected exception",
          exchange.getRequestMethod(),
          exchange.getRequestPath(),
          e);
      responder.retryLater(HttpStatus.SERVICE_UNAVAILABLE, "internal error", 1);
    }
  }

  private static String pathAndQuery(HttpServerExchange exchange) {
    String query = exchange.getQueryString();
    return query.isEmpty() ? exchange.getRequestPath() : exchange.getRequestPath() + "?" + query;
  }

  private void handleBodyFailure(HttpServerExchange exchange, IOException failure) {
    int status =
        failure instanceof RequestTooBigException
            ? HttpStatus.PAYLOAD_TOO_LARGE
            : HttpStatus.BAD_REQUEST;
    reject(exchange, status, "the body can't be read");
  }

  /**
   * Sends an error response and closes the connection, because the rest of the request has not been
   * read.
   */
  private void reject(HttpServerExchange exchange, int status, String reason) {
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
    public boolean nearConnectionLimit() {
      return statistics != null && connections() > nearConnectionLimitThreshold;
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
