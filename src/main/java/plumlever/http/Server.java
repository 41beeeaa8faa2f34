package plumlever.http;

import io.undertow.UndertowOptions;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
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

  private static final int PARSE_TIMEOUT_MS =
      (int) (ConnectionGuard.REQUEST_DEADLINE_MICROS / 1_000);
  private static final long OVERDUE_CHECK_INTERVAL_MS = 250;
  private static final int MIN_RESERVED_CONNECTIONS = 4;
  private static final int RESERVED_CONNECTIONS_DIVISOR = 32;
  private static final AttachmentKey<Boolean> CLOSE_OBSERVED = AttachmentKey.create(Boolean.class);
  private static final int BUFFER_BYTES = 8 * 1024;
  private static final int MAX_HEADER_BYTES = 16 * 1024;

  private final XnioWorker worker;
  private final Endpoint endpoint;
  private final int maxConnections;
  private final int nearConnectionLimitThreshold;
  private final HttpOpenListener openListener;
  private final ConnectionGuard guard = new ConnectionGuard(() -> System.nanoTime() / 1_000);
  private final RequestHandler handler;
  private AcceptingChannel<StreamConnection> listener;
  private XnioExecutor.Key overdueCheck;

  /**
   * Creates a listener that accepts no connections until {@link #start}.
   *
   * @param worker has one I/O thread, which runs the handler
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
    this.worker = worker;
    this.endpoint = endpoint;
    this.handler = handler;
    this.maxConnections = maxConnections;
    this.nearConnectionLimitThreshold = (int) (maxConnections * NEAR_CONNECTION_LIMIT_FRACTION);
    this.openListener =
        new HttpOpenListener(
            new DefaultByteBufferPool(false, BUFFER_BYTES), options(idleMicros, maxBodyBytes));
    openListener.setRootHandler(this::receive);
  }

  private static OptionMap options(long idleMicros, long maxBodyBytes) {
    int idleMs = (int) (idleMicros / 1_000);
    return OptionMap.builder()
        .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
        .set(UndertowOptions.MAX_ENTITY_SIZE, maxBodyBytes)
        .set(UndertowOptions.IDLE_TIMEOUT, idleMs)
        .set(UndertowOptions.NO_REQUEST_TIMEOUT, idleMs)
        .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MS)
        .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
        .set(UndertowOptions.ENABLE_STATISTICS, true)
        .set(UndertowOptions.RECORD_REQUEST_START_TIME, false)
        .set(UndertowOptions.ALWAYS_SET_DATE, false)
        .getMap();
  }

  private OptionMap socketOptions() {
    return OptionMap.builder()
        .set(Options.TCP_NODELAY, true)
        .set(Options.REUSE_ADDRESSES, true)
        .set(Options.BACKLOG, BACKLOG)
        .set(Options.CONNECTION_HIGH_WATER, maxConnections)
        .set(Options.CONNECTION_LOW_WATER, maxConnections)
        .getMap();
  }

  /** Starts to accept connections; throws an unchecked exception if the port is not available. */
  public void start() {
    try {
      listener =
          worker.createStreamConnectionServer(
              new InetSocketAddress(endpoint.host(), endpoint.port()),
              ChannelListeners.openListenerAdapter(this::accept),
              socketOptions());
    } catch (IOException e) {
      throw new UncheckedIOException("cannot listen on " + endpoint, e);
    }
    overdueCheck =
        worker
            .getIoThread()
            .executeAtInterval(
                guard::closeOverdue, OVERDUE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    listener.resumeAccepts();
  }

  private void accept(StreamConnection connection) {
    guard.accept(connection, connections() >= maxConnections - reservedConnections());
    openListener.handleEvent(connection);
  }

  /** The number of connections kept free for accepted connections that are about to be replaced. */
  private int reservedConnections() {
    return Math.max(MIN_RESERVED_CONNECTIONS, maxConnections / RESERVED_CONNECTIONS_DIVISOR);
  }

  /** The number of open connections. */
  public long connections() {
    return openListener.getConnectorStatistics().getActiveConnections();
  }

  /** The number of connections closed because no complete request was received in time. */
  public long connectionsOverdue() {
    return guard.closedAsOverdue();
  }

  /** The number of connections without a request that were closed in favor of newer ones. */
  public long connectionsReplaced() {
    return guard.closedForOthers();
  }

  /**
   * The port on which the server listens. If the configured port is 0, the operating system chooses
   * it.
   */
  public int port() {
    return ((InetSocketAddress) listener.getLocalAddress()).getPort();
  }

  @Override
  public void close() {
    if (listener != null) {
      overdueCheck.remove();
      IoUtils.safeClose(listener);
    }
  }

  private static StreamConnection connectionOf(HttpServerExchange exchange) {
    return ((AbstractServerConnection) exchange.getConnection()).getChannel();
  }

  private void receive(HttpServerExchange exchange) {
    forgetOnceClosed(exchange);
    if (exchange.getRequestContentLength() > exchange.getMaxEntitySize()) {
      reject(exchange, HttpStatus.PAYLOAD_TOO_LARGE, "the body is too long");
      return;
    }
    exchange.getRequestReceiver().receiveFullBytes(this::handleBody, this::handleBodyFailure);
  }

  private void handleBody(HttpServerExchange exchange, byte[] body) {
    guard.requestReceived(connectionOf(exchange));
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

  private void forgetOnceClosed(HttpServerExchange exchange) {
    if (exchange.getConnection().getAttachment(CLOSE_OBSERVED) == null) {
      StreamConnection connection = connectionOf(exchange);
      exchange.getConnection().putAttachment(CLOSE_OBSERVED, true);
      exchange.getConnection().addCloseListener(closed -> guard.closed(connection));
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
      return connections() > nearConnectionLimitThreshold;
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
