package plumlever.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
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

/**
 * Guards against responses of workers, the cloud, the state service or peers that block a
 * controller: cut off, endless or malformed ones.
 */
final class BadResponseTest {
  private static final long TIMEOUT_MICROS = 1_500_000;
  private static final int OUTCOME_LIMIT_MS = 3_000;
  private static final int BYTE_INTERVAL_MS = 100;
  private static final int NO_RESPONSE = 0;

  private XnioWorker worker;
  private XnioLoop loop;
  private UndertowHttpClient httpClient;
  private ServerSocket peer;

  @BeforeEach
  void start() throws IOException {
    worker =
        Xnio.getInstance()
            .createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
    loop = new XnioLoop(worker.getIoThread());
    httpClient =
        new UndertowHttpClient(
            loop, worker.getIoThread(), new DefaultByteBufferPool(false, 8192, 16, 4));
    peer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    peer.close();
    worker.shutdownNow();
  }

  /** Writes a response to the connection of the caller. */
  private interface Writer {
    void write(OutputStream out) throws IOException, InterruptedException;
  }

  private void answer(Writer writer) {
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = peer.accept()) {
                socket.getInputStream().read(new byte[4_096]);
                writer.write(socket.getOutputStream());
              } catch (IOException | InterruptedException e) {
                // The controller has closed the connection, or the test is over.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private int call() throws Exception {
    CompletableFuture<Integer> outcome = new CompletableFuture<>();
    loop.execute(
        () ->
            httpClient.call(
                new Endpoint("127.0.0.1", peer.getLocalPort()),
                "GET",
                "/inspect",
                null,
                TIMEOUT_MICROS,
                (status, body) -> outcome.complete(status)));
    return outcome.get(OUTCOME_LIMIT_MS, TimeUnit.MILLISECONDS);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private void assertNextCallIsAnswered() throws Exception {
    answer(out -> out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")));
    assertEquals(200, call());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n{}",
        "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Len",
        "not HTTP at all\r\n\r\n"
      })
  void aCutOffOrMalformedResponseCountsAsNone(String response) throws Exception {
    answer(out -> out.write(bytes(response)));
    assertEquals(NO_RESPONSE, call());
    assertNextCallIsAnswered();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Slow: ",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n"
      })
  void aResponseThatNeverEndsIsAbandonedAtTheTimeout(String beginning) throws Exception {
    answer(
        out -> {
          out.write(bytes(beginning));
          while (true) {
            Thread.sleep(BYTE_INTERVAL_MS);
            out.write('a');
            out.flush();
          }
        });
    assertEquals(NO_RESPONSE, call());
    assertNextCallIsAnswered();
  }

  @Test
  void anEndlessFastResponseIsAbandoned() throws Exception {
    answer(
        out -> {
          out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n"));
          byte[] block = new byte[1 << 16];
          while (true) {
            out.write(block);
          }
        });
    long startNanos = System.nanoTime();
    assertEquals(NO_RESPONSE, call());
    assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) < OUTCOME_LIMIT_MS);
    assertNextCallIsAnswered();
  }
}
