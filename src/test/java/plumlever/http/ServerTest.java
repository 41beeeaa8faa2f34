package plumlever.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import plumlever.settings.Endpoint;

/**
 * Tests the server and the outgoing HTTP client together, over real connections on the loopback
 * interface.
 */
final class ServerTest {
  private static final int MAX_CONNECTIONS = 50;
  private static final long IDLE_MICROS = 20_000_000;
  private static final long TIMEOUT_MICROS = 5_000_000;
  private static final long SHORT_TIMEOUT_MICROS = 200_000;
  private static final byte[] NO_BODY = new byte[0];

  /** More requests than a connection pool has connections, so that connections are reused. */
  private static final int MANY_REQUESTS = 20;

  private XnioWorker worker;
  private XnioLoop loop;
  private UndertowHttpClient httpClient;
  private Server server;

  @BeforeEach
  void start() throws IOException {
    worker =
        Xnio.getInstance()
            .createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
    loop = new XnioLoop(worker.getIoThread());
    httpClient =
        new UndertowHttpClient(
            loop, worker.getIoThread(), new DefaultByteBufferPool(false, 8192, 16, 4));
    server =
        new Server(
            worker,
            new Endpoint("127.0.0.1", 0),
            MAX_CONNECTIONS,
            IDLE_MICROS,
            Server.MAX_BODY_BYTES,
            this::respond);
    server.start();
  }

  @AfterEach
  void stop() {
    server.close();
    worker.shutdownNow();
  }

  /**
   * Echoes the method, the path and the body length, except for two paths with special behavior.
   */
  private void respond(String method, String path, byte[] body, Responder out) {
    switch (path) {
      case "/unanswered" -> {}
      case "/near-limit" -> out.send(200, String.valueOf(out.nearConnectionLimit()));
      default -> {
        int status = path.equals("/unavailable") ? 503 : 200;
        String echo = method + " " + path + " " + body.length;
        // Respond after a delay, as most request handlers do.
        loop.after(1_000, () -> out.send(status, echo, 1));
      }
    }
  }

  /** Sends a request and returns the status and the body of the response. */
  private String call(String method, String path, byte[] body, long timeoutMicros)
      throws InterruptedException, ExecutionException, TimeoutException {
    CompletableFuture<String> done = new CompletableFuture<>();
    loop.execute(
        () ->
            httpClient.call(
                new Endpoint("127.0.0.1", server.port()),
                method,
                path,
                body,
                timeoutMicros,
                (status, data) ->
                    done.complete(status + " " + new String(data, StandardCharsets.UTF_8))));
    return done.get(10, TimeUnit.SECONDS);
  }

  private String get(String path)
      throws InterruptedException, ExecutionException, TimeoutException {
    return call("GET", path, null, TIMEOUT_MICROS);
  }

  private String post(String path, byte[] body)
      throws InterruptedException, ExecutionException, TimeoutException {
    return call("POST", path, body, TIMEOUT_MICROS);
  }

  @Test
  void carriesPathAndQueryOfEachRequest() throws Exception {
    for (int i = 0; i < MANY_REQUESTS; i++) {
      assertEquals("200 GET /a?b=c 0", get("/a?b=c"));
    }
  }

  @Test
  void carriesTheWholeBodyOfEachRequest() throws Exception {
    for (int i = 0; i < MANY_REQUESTS; i++) {
      assertEquals("200 POST /p 50000", post("/p", new byte[50_000]));
    }
  }

  @Test
  void carriesTheStatusOfTheResponse() throws Exception {
    assertEquals("503 POST /unavailable 0", post("/unavailable", NO_BODY));
  }

  /**
   * Near the connection limit, the server closes workers' connections after each heartbeat, so that
   * user requests always get a connection.
   */
  @Test
  void reportsWhenNearConnectionLimit() throws Exception {
    assertEquals("200 false", get("/near-limit"));
    List<Socket> open = new ArrayList<>();
    try {
      // One connection more than 90 % of the connection limit.
      for (int i = 0; i < 46; i++) {
        open.add(connectionInUse());
      }
      assertEquals("200 true", get("/near-limit"));
    } finally {
      for (Socket socket : open) {
        socket.close();
      }
    }
  }

  private Socket connectionInUse() throws IOException {
    Socket socket = new Socket("127.0.0.1", server.port());
    socket
        .getOutputStream()
        .write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    assertEquals('H', socket.getInputStream().read());
    return socket;
  }

  @Test
  void refusesABodyThatIsTooLong() throws Exception {
    String response = post("/p", new byte[Server.MAX_BODY_BYTES + 1]);
    assertTrue(response.startsWith("413"), response);
  }

  @Test
  void servesRequestsAfterRefusingATooLongBody() throws Exception {
    post("/p", new byte[Server.MAX_BODY_BYTES + 1]);
    assertEquals("200 GET /a 0", get("/a"));
  }

  @Test
  void endsUnansweredRequestAfterTimeout() throws Exception {
    assertEquals("0 ", call("GET", "/unanswered", null, SHORT_TIMEOUT_MICROS));
  }

  @Test
  void servesRequestsAfterAnUnansweredOne() throws Exception {
    call("GET", "/unanswered", null, SHORT_TIMEOUT_MICROS);
    assertEquals("200 GET /a 0", get("/a"));
  }
}
