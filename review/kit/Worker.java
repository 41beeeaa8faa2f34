import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.util.*;

/** The worker of one machine, as the protocol page describes it. */
final class Worker {
  static final class Task {
    final String piece;
    final long attempt;
    String status = "pulling";
    String cause;

    Task(String piece, long attempt) {
      this.piece = piece;
      this.attempt = attempt;
    }

    boolean here() {
      return status.equals("running");
    }
  }

  final String host;
  final String flavor;
  final String site;
  /** The protocol's limit of a request body, and of a line of a response to a worker. */
  private static final int MAX_BYTES = 64 * 1024;

  private final Cluster cluster;
  private final int port;
  private final Map<Long, Task> tasks = new LinkedHashMap<>();
  private int node;
  private long tenure = 1;
  private long tick;
  private long baton;
  private long leaseFromMs = Kit.nowMs();
  private boolean changed;
  private boolean gone;

  Worker(Cluster cluster, String host, String flavor, String site, int firstNode) throws Exception {
    this.cluster = cluster;
    this.host = host;
    this.flavor = flavor;
    this.site = site;
    this.node = firstNode;
    this.port = Kit.serve(0, this::handle);
    Kit.POOL.execute(this::reportLoop);
    Kit.every(100, this::checkLease);
  }

  String endpoint() {
    return "127.0.0.1:" + port;
  }

  synchronized void remove() {
    gone = true;
    kill("machine gone");
  }

  private void kill(String why) {
    for (Task task : tasks.values()) {
      if (task.here()) {
        cluster.left(task.piece, host, why);
      }
    }
    tasks.clear();
  }

  private synchronized void checkLease() {
    if (!gone && Kit.nowMs() - leaseFromMs > cluster.leaseMs) {
      if (!tasks.isEmpty()) {
        Kit.note("worker %s: lease expired, session %d ends", host, tenure);
      }
      kill("lease expired");
      tenure++;
      leaseFromMs = Kit.nowMs();
      changed = true;
      notifyAll();
    }
  }

  private synchronized ObjectNode report() {
    ObjectNode report = Kit.object().put("host", host).put("endpoint", endpoint()).put("flavor", flavor)
        .put("site", site).put("loaners", false).put("tenure", tenure).put("tick", ++tick).put("baton", baton);
    report.putNull("reclaim_in_s");
    ArrayNode pieces = report.putArray("pieces");
    for (Task task : tasks.values()) {
      ObjectNode piece = pieces.addObject().put("piece", task.piece).put("try", task.attempt).put("status", task.status);
      if (task.cause != null) {
        piece.put("exit_cause", task.cause);
      }
    }
    return report;
  }

  private void reportLoop() {
    Random random = new Random(host.hashCode());
    while (!gone) {
      long sent = Kit.nowMs();
      long sentTenure;
      String body;
      synchronized (this) {
        changed = false;
        sentTenure = tenure;
        body = report().toString();
      }
      Kit.Answer answer = Kit.call(cluster.userPort(node), "POST", "/hello", body, 4000);
      long pause = 1000;
      if (body.length() > MAX_BYTES) {
        Kit.note("worker %s: report of %d bytes was answered with %d by lever-%d", host, body.length(), answer.status(), node);
      }
      if (answer.status() == 200 && answer.body().length() > MAX_BYTES) {
        Kit.note("worker %s: response with a line of %d bytes", host, answer.body().length());
      }
      if (answer.status() == 200) {
        accept(answer.json(), sent, sentTenure);
        pause = (long) (cluster.reportMs * (0.75 + random.nextDouble() / 2));
      } else {
        String foreman = answer.status() == 421 ? answer.json().path("foreman").asText(null) : null;
        int named = foreman == null ? -1 : cluster.nodeOf(foreman);
        if (named >= 0 && named != node) {
          node = named;
          pause = 250;
        } else {
          node = (node + 1) % cluster.nodes();
        }
        Kit.sleep(pause);
        continue;
      }
      synchronized (this) {
        long until = Kit.nowMs() + pause;
        while (!changed && Kit.nowMs() < until && !gone) {
          try {
            wait(Math.max(1, until - Kit.nowMs()));
          } catch (InterruptedException e) {
            return;
          }
        }
      }
      Kit.sleep(sent + 500 - Kit.nowMs());
    }
  }

  private synchronized void accept(JsonNode reply, long sent, long sentTenure) {
    long token = reply.path("baton").asLong(-1);
    if (sentTenure != tenure || token < baton || gone) {
      return;
    }
    changed |= token > baton;
    baton = token;
    leaseFromMs = Math.max(leaseFromMs, sent);
    reply.path("orders").forEach(order -> execute(order, "report"));
  }

  private void handle(HttpExchange exchange) throws Exception {
    byte[] body = Kit.body(exchange);
    String path = exchange.getRequestURI().getPath();
    String reply;
    int status = 200;
    synchronized (this) {
      if (gone) {
        exchange.close();
        return;
      }
      if (path.equals("/orders")) {
        JsonNode request = Kit.parse(body);
        if (body.length > MAX_BYTES) {
          Kit.note("worker %s: orders of %d bytes refused with 413", host, body.length);
          status = 413;
        } else if (!request.hasNonNull("baton") || !request.hasNonNull("tenure")) {
          status = 400;
        } else if (request.get("baton").asLong() < baton || request.get("tenure").asLong() != tenure) {
          status = 409;
        } else {
          if (request.get("baton").asLong() > baton) {
            baton = request.get("baton").asLong();
            wake();
          }
          request.path("orders").forEach(order -> execute(order, "direct"));
        }
      }
      reply = report().toString();
    }
    Kit.reply(exchange, status, reply);
  }

  private void wake() {
    changed = true;
    notifyAll();
  }

  private void execute(JsonNode order, String how) {
    String piece = order.path("piece").asText();
    long attempt = order.path("try").asLong();
    Task task = tasks.get(attempt);
    switch (order.path("verb").asText()) {
      case "run" -> {
        if (task == null) {
          run(piece, attempt, how);
        }
      }
      case "halt" -> {
        if (task != null && !task.status.equals("ended")) {
          end(task, "halted");
        }
      }
      case "reap" -> {
        if (task != null && task.status.equals("ended")) {
          tasks.remove(attempt);
        }
      }
      default -> Kit.note("worker %s: unknown order %s", host, order);
    }
  }

  private void run(String piece, long attempt, String how) {
    Task task = new Task(piece, attempt);
    boolean inUse = tasks.values().stream().anyMatch(t -> t.piece.equals(piece) && !t.status.equals("ended"));
    tasks.put(attempt, task);
    Kit.note("worker %s: run %s try %d (%s)", host, piece, attempt, how);
    if (inUse) {
      task.status = "ended";
      task.cause = "in_use";
    } else {
      Kit.after(200, () -> begin(task));
    }
    wake();
  }

  private synchronized void begin(Task task) {
    if (tasks.get(task.attempt) != task || !task.status.equals("pulling")) {
      return;
    }
    task.status = "running";
    cluster.started(task.piece, host);
    long runMs = cluster.isDone(task.piece) ? 0 : cluster.runMs(task.piece);
    Kit.after(runMs, () -> complete(task));
    wake();
  }

  private synchronized void complete(Task task) {
    if (tasks.get(task.attempt) == task && task.here()) {
      cluster.done(task.piece);
      end(task, "done");
    }
  }

  private void end(Task task, String cause) {
    if (task.here()) {
      cluster.left(task.piece, host, cause);
    }
    task.status = "ended";
    task.cause = cause;
    wake();
  }
}
