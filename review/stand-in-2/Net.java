import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** Small helpers of the stand-ins: JSON, HTTP on loopback, the clock and the record of a case. */
final class Net {
  static final ObjectMapper JSON = new ObjectMapper();
  static final long START = System.nanoTime();
  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(1000))
          .executor(THREADS)
          .build();
  private static Path record;

  private Net() {}

  interface Handler {
    Answer handle(String method, String path, Map<String, String> query, byte[] body);
  }

  record Answer(int status, String body) {}

  /** Seconds since the start of the case. */
  static double now() {
    return (System.nanoTime() - START) / 1e9;
  }

  static void recordTo(Path file) throws IOException {
    record = file;
    Files.deleteIfExists(file);
  }

  static synchronized void log(String format, Object... values) {
    String line = String.format("%8.3f %s%n", now(), String.format(format, values));
    try {
      Files.writeString(record, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  static JsonNode parse(byte[] text) {
    try {
      return JSON.readTree(text);
    } catch (IOException e) {
      return object();
    }
  }

  static Answer answer(int status, JsonNode body) {
    return new Answer(status, body.toString());
  }

  static void sleep(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static void run(Runnable task) {
    THREADS.execute(
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            log("stand-in failed: %s", e);
          }
        });
  }

  /** A free port below those that the system gives to outgoing connections. */
  static int freePort() throws IOException {
    while (true) {
      int port = 18_000 + ThreadLocalRandom.current().nextInt(14_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // The port is in use: try another one.
      }
    }
  }

  /** Serves on a free loopback port and returns the address. */
  static String serve(Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 512);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> exchange(handler, exchange));
    server.start();
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private static void exchange(Handler handler, HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    Map<String, String> query = new HashMap<>();
    String text = exchange.getRequestURI().getRawQuery();
    if (text != null) {
      for (String part : text.split("&")) {
        int sign = part.indexOf('=');
        query.put(part.substring(0, sign), part.substring(sign + 1));
      }
    }
    Answer answer;
    try {
      answer =
          handler.handle(
              exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
    } catch (RuntimeException e) {
      log("stand-in failed: %s", e);
      answer = new Answer(500, "{}");
    }
    if (answer == null) {
      exchange.close();
      return;
    }
    byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(answer.status(), bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  /** Sends one request; status 0 stands for no response. */
  static Answer call(String method, String address, String path, String body, double timeoutS) {
    try {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(URI.create("http://" + address + path))
              .timeout(Duration.ofMillis((long) (timeoutS * 1000)))
              .method(
                  method,
                  body == null
                      ? HttpRequest.BodyPublishers.noBody()
                      : HttpRequest.BodyPublishers.ofString(body));
      HttpResponse<String> response =
          CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Answer(0, "");
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
