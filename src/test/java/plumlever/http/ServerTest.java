package plumlever.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.server.DefaultByteBufferPool;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import plumlever.settings.Endpoint;

/** A real round trip on loopback, through the server and the client the service uses. */
final class ServerTest {
  private XnioWorker worker;
  private XnioLoop loop;
  private UndertowCaller caller;
  private Server server;

  @BeforeEach
  void start() throws Exception {
    worker =
        Xnio.getInstance()
            .createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
    loop = new XnioLoop(worker.getIoThread());
    caller =
        new UndertowCaller(
            loop, worker.getIoThread(), new DefaultByteBufferPool(false, 8192, 16, 4));
    server =
        new Server(
            worker,
            new Endpoint("127.0.0.1", 0),
            50,
            20_000_000,
            Server.MAX_BODY_BYTES,
            (method, path, body, out) -> {
              if (path.equals("/never")) {
                return;
              }
              if (path.equals("/crowded")) {
                out.send(200, String.valueOf(out.connectionsScarce()));
                return;
              }
              // Answered later, as most requests are.
              loop.after(
                  1_000,
                  () ->
                      out.send(
                          path.equals("/later") ? 503 : 200,
                          method + " " + path + " " + body.length,
                          1));
            });
    server.start();
  }

  @AfterEach
  void stop() {
    server.close();
    worker.shutdownNow();
  }

  private String call(String method, String path, byte[] body, long timeout) throws Exception {
    CompletableFuture<String> done = new CompletableFuture<>();
    loop.execute(
        () ->
            caller.call(
                new Endpoint("127.0.0.1", server.port()),
                method,
                path,
                body,
                timeout,
                (status, data) ->
                    done.complete(status + " " + new String(data, StandardCharsets.UTF_8))));
    return done.get(10, TimeUnit.SECONDS);
  }

  @Test
  void carriesRequestsAndAnswers() throws Exception {
    for (int i = 0; i < 20; i++) {
      assertEquals("200 GET /a?b=c 0", call("GET", "/a?b=c", null, 5_000_000));
      assertEquals("200 POST /p 50000", call("POST", "/p", new byte[50_000], 5_000_000));
    }
    assertEquals("503 POST /later 0", call("POST", "/later", new byte[0], 5_000_000));
  }

  /**
   * Near the limit of connections workers are asked to come back on new ones, so that users always
   * find room.
   */
  @Test
  void knowsWhenConnectionsAreShort() throws Exception {
    assertEquals("200 false", call("GET", "/crowded", null, 5_000_000));
    List<Socket> open = new ArrayList<>();
    try {
      for (int i = 0; i < 46; i++) {
        Socket socket = new Socket("127.0.0.1", server.port());
        open.add(socket);
        socket
            .getOutputStream()
            .write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        assertEquals('H', socket.getInputStream().read());
      }
      assertEquals("200 true", call("GET", "/crowded", null, 5_000_000));
    } finally {
      for (Socket socket : open) {
        socket.close();
      }
    }
  }

  @Test
  void refusesLongBodiesAndGivesUpInTime() throws Exception {
    byte[] big = new byte[Server.MAX_BODY_BYTES + 1];
    Arrays.fill(big, (byte) 'x');
    String answer = call("POST", "/p", big, 5_000_000);
    assertEquals("413", answer.substring(0, 3));
    assertEquals("0 ", call("GET", "/never", null, 200_000));
    assertEquals("200 GET /again 0", call("GET", "/again", null, 5_000_000));
  }
}
