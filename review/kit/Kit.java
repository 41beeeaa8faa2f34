import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/** Small helpers that all stand-ins and cases share: clock, record, JSON, HTTP. */
final class Kit {
  interface Handler {
    void handle(HttpExchange exchange) throws Exception;
  }

  /** The status (0 without a response) and body of a call. */
  record Answer(int status, String body) {
    /** True for an accepted job, also if an earlier attempt of the same submission was accepted. */
    boolean accepted() {
      return status == 200 || status == 201;
    }

    JsonNode json() {
      try {
        return parse(body.getBytes(StandardCharsets.UTF_8));
      } catch (IOException e) {
        return object();
      }
    }
  }

  static final ObjectMapper MAPPER = new ObjectMapper();
  static final ScheduledExecutorService TIMERS = Executors.newScheduledThreadPool(8, Kit::daemon);
  static final ExecutorService POOL = Executors.newCachedThreadPool(Kit::daemon);
  private static final long START = System.nanoTime();
  private static PrintWriter record;

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
    System.setProperty("http.keepAlive", "false");
    System.setProperty("sun.net.http.retryPost", "false");
  }

  private static Thread daemon(Runnable r) {
    Thread t = new Thread(r);
    t.setDaemon(true);
    return t;
  }

  static long nowMs() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  static void open(Path file) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  static synchronized void note(String format, Object... args) {
    String line = String.format(Locale.ROOT, "%8.3f ", nowMs() / 1000.0) + String.format(Locale.ROOT, format, args);
    record.println(line);
  }

  static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  static JsonNode parse(byte[] body) throws IOException {
    return MAPPER.readTree(body);
  }

  static void every(long ms, Runnable action) {
    TIMERS.scheduleWithFixedDelay(
        () -> {
          try {
            action.run();
          } catch (Throwable e) {
            note("stand-in error: %s", e);
          }
        },
        ms, ms, TimeUnit.MILLISECONDS);
  }

  static void after(long ms, Runnable action) {
    TIMERS.schedule(() -> POOL.execute(action), ms, TimeUnit.MILLISECONDS);
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static int serve(int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 1024);
    server.setExecutor(POOL);
    server.createContext("/", exchange -> {
      try {
        handler.handle(exchange);
      } catch (IOException e) {
        exchange.close();
      } catch (Exception e) {
        note("stand-in error: %s", e);
        exchange.close();
      }
    });
    server.start();
    return server.getAddress().getPort();
  }

  static byte[] body(HttpExchange exchange) throws IOException {
    return exchange.getRequestBody().readAllBytes();
  }

  static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int eq = part.indexOf('=');
        query.put(part.substring(0, eq), part.substring(eq + 1));
      }
    }
    return query;
  }

  static void reply(HttpExchange exchange, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      exchange.getResponseBody().write(bytes);
    }
    exchange.close();
  }

  /** One request on a connection of its own; status 0 without a response in time. */
  static Answer call(int port, String method, String path, String body, int timeoutMs) {
    HttpURLConnection connection = null;
    try {
      connection = (HttpURLConnection) new URL("http://127.0.0.1:" + port + path).openConnection();
      connection.setConnectTimeout(Math.min(timeoutMs, 500));
      connection.setReadTimeout(timeoutMs);
      connection.setInstanceFollowRedirects(false);
      connection.setRequestMethod(method);
      if (method.equals("POST")) {
        connection.setDoOutput(true);
        connection.setRequestProperty("Content-Type", "application/json");
        byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
        connection.setFixedLengthStreamingMode(bytes.length);
        connection.getOutputStream().write(bytes);
      }
      int status = connection.getResponseCode();
      InputStream in = status >= 400 ? connection.getErrorStream() : connection.getInputStream();
      String text = in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
      return new Answer(status, text);
    } catch (IOException e) {
      return new Answer(0, String.valueOf(e.getMessage()));
    } finally {
      if (connection != null) {
        connection.disconnect();
      }
    }
  }

  /** A free port below those that the system gives to outgoing connections. */
  static int freePort() throws IOException {
    for (int attempt = 0; attempt < 200; attempt++) {
      int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
      try (ServerSocket socket = new ServerSocket()) {
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress("127.0.0.1", port));
        return port;
      } catch (BindException e) {
        // In use, try another one.
      }
    }
    throw new IOException("no free port");
  }
}
