package plumlever.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import plumlever.settings.Endpoint;

/** Guards against slow, cut off and malformed requests that keep others from being served. */
final class SlowRequestTest {
  private static final int MAX_CONNECTIONS = 60;
  private static final long IDLE_MICROS = 12_000_000;
  private static final int BYTE_INTERVAL_MS = 1_000;

  /** The time for which the load balancer waits for the response to a health check. */
  private static final int HEALTH_TIMEOUT_MS = 1_000;

  /** The time for which a worker waits for the response to its heartbeat. */
  private static final int WORKER_TIMEOUT_MS = 4_000;

  /** The time for which a user waits for a response; no client waits longer. */
  private static final int USER_TIMEOUT_MS = 5_000;

  private static final String HEAD =
      "POST /p HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: ";
  private static final String ENDLESS_HEADER = "GET /up HTTP/1.1\r\nHost: a\r\nX-Slow: ";

  private final List<Socket> sockets = new ArrayList<>();
  private ScheduledExecutorService drip;
  private XnioWorker worker;
  private Server server;

  @BeforeEach
  void start() throws IOException {
    drip = Executors.newSingleThreadScheduledExecutor();
    worker =
        Xnio.getInstance()
            .createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
    server =
        new Server(
            worker,
            new Endpoint("127.0.0.1", 0),
            MAX_CONNECTIONS,
            IDLE_MICROS,
            Server.MAX_BODY_BYTES,
            (method, path, body, out) -> out.send(200, path + " " + body.length));
    server.start();
  }

  @AfterEach
  void stop() throws IOException {
    drip.shutdownNow();
    for (Socket socket : sockets) {
      socket.close();
    }
    server.close();
    worker.shutdownNow();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    sockets.add(socket);
    socket.connect(new InetSocketAddress("127.0.0.1", server.port()), HEALTH_TIMEOUT_MS);
    return socket;
  }

  /** Opens a connection that sends the beginning of a request and then one byte a second. */
  private Socket connectSlowly(String beginning) throws IOException {
    Socket socket = connect();
    socket.getOutputStream().write(beginning.getBytes(StandardCharsets.US_ASCII));
    drip.scheduleAtFixedRate(
        () -> sendByte(socket), BYTE_INTERVAL_MS, BYTE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    return socket;
  }

  private static void sendByte(Socket socket) {
    try {
      socket.getOutputStream().write('a');
    } catch (IOException e) {
      // The server has closed the connection, as it should.
    }
  }

  private String request(Socket socket, String text, int timeoutMs) throws IOException {
    socket.setSoTimeout(timeoutMs);
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    byte[] buffer = new byte[4_096];
    int count = socket.getInputStream().read(buffer);
    return count < 0 ? "" : new String(buffer, 0, count, StandardCharsets.US_ASCII);
  }

  private void assertServed(Socket socket, int timeoutMs) throws IOException {
    String response = request(socket, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n", timeoutMs);
    assertTrue(response.startsWith("HTTP/1.1 200"), response);
  }

  /** Reads until the server closes the connection; fails if it does not do so in time. */
  private static void assertClosedWithin(Socket socket, int millis) throws IOException {
    long deadline = System.nanoTime() + millis * 1_000_000L;
    InputStream in = socket.getInputStream();
    try {
      int read = 0;
      while (read >= 0) {
        socket.setSoTimeout((int) Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
        read = in.read(new byte[256]);
      }
    } catch (SocketTimeoutException e) {
      throw new AssertionError("the connection is still open after " + millis + " ms", e);
    } catch (IOException e) {
      // A reset also closes the connection.
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {HEAD + "60000\r\n\r\n", ENDLESS_HEADER, "G"})
  void aRequestOfOneByteASecondEndsWithItsDeadline(String beginning) throws IOException {
    Socket slow = connectSlowly(beginning);

    assertClosedWithin(slow, USER_TIMEOUT_MS + HEALTH_TIMEOUT_MS);
  }

  @ParameterizedTest
  @ValueSource(strings = {HEAD + "60000\r\n\r\n", ENDLESS_HEADER, "G", ""})
  void moreSlowRequestsThanConnectionsKeepNobodyFromBeingServed(String beginning)
      throws IOException {
    Socket polling = connect();
    assertServed(polling, WORKER_TIMEOUT_MS);
    for (int i = 0; i < 3 * MAX_CONNECTIONS; i++) {
      connectSlowly(beginning);
    }
    for (int i = 0; i < 8; i++) {
      assertServed(connect(), HEALTH_TIMEOUT_MS);
      assertServed(polling, WORKER_TIMEOUT_MS);
    }
  }

  @Test
  void aClientThatReconnectsAsSoonAsItIsClosedKeepsNobodyFromBeingServed() throws IOException {
    for (int round = 0; round < 6; round++) {
      for (int i = 0; i < MAX_CONNECTIONS; i++) {
        connectSlowly(ENDLESS_HEADER);
      }
      assertServed(connect(), HEALTH_TIMEOUT_MS);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        HEAD + "10\r\n\r\n{}",
        HEAD + "-1\r\n\r\n{}",
        HEAD + "x\r\n\r\n{}",
        HEAD + "99999999999999999999\r\n\r\n{}",
        "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        "\0\0\0\0",
        "GET /up",
        "GET\r\n\r\n"
      })
  void aMalformedOrCutOffRequestLeavesTheServerServing(String text) throws IOException {
    Socket cut = connect();
    cut.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    cut.shutdownOutput();
    assertServed(connect(), HEALTH_TIMEOUT_MS);
    assertClosedWithin(cut, USER_TIMEOUT_MS + HEALTH_TIMEOUT_MS);
  }

  @Test
  void requestsThatArriveInTimeAreServedOnOneConnectionForLongerThanTheDeadline()
      throws IOException, InterruptedException {
    Socket client = connect();
    for (int i = 0; i < 4; i++) {
      Thread.sleep(2 * BYTE_INTERVAL_MS);
      assertServed(client, HEALTH_TIMEOUT_MS);
    }
    assertEquals(0, server.connectionsOverdue());
  }
}
