import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A machine's worker as PROTOCOL-plumlever.md describes it. */
final class Worker implements Net.Handler {
  /** What all workers share. */
  static final class World {
    final List<String> nodes;
    final Map<String, String> nodeByLabel;
    final double reportS;
    final double leaseS;
    /** Descriptions of jobs, which users upload; a job that is not here is refused. */
    final Map<String, Job> jobs = new ConcurrentHashMap<>();

    /** Tasks whose next run fails. */
    final Set<String> failing = ConcurrentHashMap.newKeySet();

    World(List<String> nodes, Map<String, String> nodeByLabel, double reportS, double leaseS) {
      this.nodes = nodes;
      this.nodeByLabel = nodeByLabel;
      this.reportS = reportS;
      this.leaseS = leaseS;
    }
  }

  record Job(double cores, double memoryGb, int pieces, double runS) {}

  private static final class Piece {
    final String name;
    final long attempt;
    final double since = Net.now();
    String status = "pulling";
    String cause;

    Piece(String name, long attempt) {
      this.name = name;
      this.attempt = attempt;
    }

    boolean live() {
      return !status.equals("ended");
    }
  }

  static final double FETCH_S = 0.5;
  static final int MAX_BODY = 64 * 1024;

  final String name;
  final Cloud.Type type;
  final String zone;
  final double bootS;
  final double rentedAt = Net.now();
  final String endpoint;

  /** On a faulty machine every task fails soon after it has started. */
  volatile boolean faulty;

  /** While the machine is cut off, it reaches nobody, and commands to it are held back or lost. */
  volatile boolean cutOff;

  /** The node to which the next report goes, or null. */
  volatile String reportTo;

  private volatile double answeredAt;

  /** Set to let a cut end for one report: held commands arrive before its answer does. */
  volatile boolean oneReport;

  /** Commands on their way when the cut began. */
  private final List<JsonNode> held = new ArrayList<>();

  /** How long the machine hangs after its next report; 0 if it does not. */
  volatile double hangAfterReportS;

  /** A hanging machine neither executes its tasks nor answers nor reports. */
  private volatile boolean hanging;

  volatile int starts;
  volatile int errors;
  private final World world;
  private final Map<Long, Piece> pieces = new LinkedHashMap<>();
  private final Set<String> results = ConcurrentHashMap.newKeySet();
  private long tenure = 1;
  private long tick;
  private long baton;
  private double leaseFrom;
  private boolean changed;
  private volatile boolean ended;

  Worker(String name, Cloud.Type type, String zone, double bootS, World world) throws IOException {
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.bootS = bootS;
    this.world = world;
    this.endpoint = Net.serve(this);
    Net.run(this::report);
  }

  synchronized void end() {
    ended = true;
    pieces.clear();
  }

  /** Returns true if the machine has hung; its next report is then due. */
  private boolean hang() {
    double seconds = hangAfterReportS;
    if (seconds > 0) {
      hangAfterReportS = 0;
      Net.log("machine %s hangs", name);
      hanging = true;
      Net.sleep(seconds);
      hanging = false;
      Net.log("machine %s continues", name);
    }
    return seconds > 0;
  }

  private void awaitNetwork() {
    while (cutOff && !oneReport && !ended) {
      Net.sleep(0.02);
      synchronized (this) {
        progress();
      }
    }
  }

  /** Waits until each of the workers has just had an answer to a report. */
  static void awaitReports(List<Worker> workers) {
    double began = Net.now();
    while (workers.stream().anyMatch(worker -> worker.answeredAt < began)) {
      Net.sleep(0.01);
    }
  }

  synchronized int heldCommands() {
    return held.size();
  }

  /** Executes a request to /orders; false if token or session do not match. */
  private boolean obey(JsonNode request) {
    long token = request.path("baton").asLong();
    if (token < baton || request.path("tenure").asLong() != tenure) {
      return false;
    }
    changed |= token > baton;
    baton = token;
    request.path("orders").forEach(this::execute);
    return true;
  }

  private void awaitContinue() {
    while (hanging) {
      Net.sleep(0.02);
    }
  }

  synchronized int live() {
    return (int) pieces.values().stream().filter(Piece::live).count();
  }

  private boolean up() {
    return !ended && Net.now() >= rentedAt + bootS;
  }

  private void report() {
    Net.sleep(bootS);
    leaseFrom = Net.now();
    int node = Math.floorMod(name.hashCode(), world.nodes.size());
    String address = world.nodes.get(node);
    while (!ended) {
      awaitContinue();
      awaitNetwork();
      if (reportTo != null) {
        address = reportTo;
        reportTo = null;
      }
      double sent = Net.now();
      long session;
      String body;
      synchronized (this) {
        progress();
        changed = false;
        session = tenure;
        body = state();
      }
      Net.Answer answer = Net.call("POST", address, "/hello", body, 4);
      double pause = 1;
      if (oneReport) {
        Net.log("%s reports to %s: %d", name, address, answer.status());
      }
      if (answer.status() == 200) {
        synchronized (this) {
          if (oneReport) {
            held.forEach(this::obey);
            held.clear();
            oneReport = false;
            cutOff = true;
            Net.log("%s is cut off again", name);
          }
          take(Net.parse(answer.body().getBytes()), session, sent);
        }
        pause = world.reportS * (0.75 + 0.5 * Math.random());
      } else {
        String foreman = "";
        if (answer.status() == 421) {
          foreman = Net.parse(answer.body().getBytes()).path("foreman").asText("");
        }
        String named = world.nodeByLabel.get(foreman);
        if (named != null && !named.equals(address)) {
          address = named;
          pause = 0.2;
        } else {
          node = (node + 1) % world.nodes.size();
          address = world.nodes.get(node);
        }
      }
      double until = hang() ? 0 : Net.now() + pause;
      while (!ended && Net.now() < until) {
        Net.sleep(0.05);
        awaitContinue();
        synchronized (this) {
          progress();
          if (changed && answer.status() == 200 && Net.now() > sent + 0.5) {
            break;
          }
        }
      }
    }
  }

  private void take(JsonNode response, long session, double sent) {
    long token = response.path("baton").asLong(-1);
    if (session != tenure || token < baton || Net.now() > sent + 4) {
      return;
    }
    changed |= token > baton;
    baton = token;
    leaseFrom = Math.max(leaseFrom, sent);
    answeredAt = Net.now();
    response.path("orders").forEach(this::execute);
  }

  /** Lets time pass for the tasks and for the lease. */
  private void progress() {
    double now = Net.now();
    if (now - leaseFrom > world.leaseS) {
      if (pieces.values().stream().anyMatch(Piece::live)) {
        Net.log("lease of %s has expired, its tasks are killed", name);
      }
      pieces.clear();
      tenure++;
      leaseFrom = now;
      changed = true;
    }
    for (Piece piece : pieces.values()) {
      Job job = world.jobs.get(piece.name.substring(0, piece.name.indexOf('/')));
      if (piece.status.equals("pulling") && now - piece.since > FETCH_S) {
        piece.status = "running";
        starts++;
        changed = true;
        if (starts <= 200) {
          Net.log("%s try %d starts on %s", piece.name, piece.attempt, name);
        }
      } else if (piece.status.equals("running")) {
        double ran = now - piece.since - FETCH_S;
        if (ran > 0.3 && (faulty || world.failing.remove(piece.name))) {
          errors++;
          end(piece, "error");
        } else if (ran > job.runS || results.contains(piece.name)) {
          results.add(piece.name);
          end(piece, "done");
        }
      }
    }
  }

  private void end(Piece piece, String cause) {
    piece.status = "ended";
    piece.cause = cause;
    changed = true;
    if (starts <= 200) {
      Net.log("%s try %d ends on %s: %s", piece.name, piece.attempt, name, cause);
    }
  }

  private void execute(JsonNode order) {
    String piece = order.path("piece").asText();
    long attempt = order.path("try").asLong();
    Piece here = pieces.get(attempt);
    switch (order.path("verb").asText()) {
      case "run" -> {
        if (here == null) {
          run(piece, attempt);
        }
      }
      case "halt" -> {
        if (here != null && here.live()) {
          end(here, "halted");
        }
      }
      case "reap" -> {
        if (here != null && !here.live()) {
          pieces.remove(attempt);
        }
      }
      default -> Net.log("%s got an unknown order %s", name, order);
    }
  }

  private void run(String piece, long attempt) {
    Piece added = new Piece(piece, attempt);
    Job job = world.jobs.get(piece.substring(0, piece.indexOf('/')));
    double cores = 0;
    double memory = 0;
    boolean inUse = false;
    for (Piece other : pieces.values()) {
      if (other.live()) {
        Job theirs = world.jobs.get(other.name.substring(0, other.name.indexOf('/')));
        cores += theirs.cores;
        memory += theirs.memoryGb;
        inUse |= other.name.equals(piece);
      }
    }
    pieces.put(attempt, added);
    changed = true;
    if (job == null) {
      end(added, "no_such");
    } else if (inUse) {
      end(added, "in_use");
    } else if (cores + job.cores > type.cores() + 1e-6
        || memory + job.memoryGb > type.memoryGb() + 1e-6) {
      end(added, "full");
    }
  }

  private String state() {
    ObjectNode report =
        Net.object()
            .put("host", name)
            .put("endpoint", endpoint)
            .put("flavor", type.name())
            .put("site", zone)
            .put("loaners", false)
            .put("tenure", tenure)
            .put("tick", ++tick)
            .put("baton", baton)
            .putNull("reclaim_in_s");
    ArrayNode list = report.putArray("pieces");
    for (Piece piece : pieces.values()) {
      ObjectNode entry =
          list.addObject()
              .put("piece", piece.name)
              .put("try", piece.attempt)
              .put("status", piece.status);
      if (piece.cause != null) {
        entry.put("exit_cause", piece.cause);
      }
    }
    return report.toString();
  }

  @Override
  public Net.Answer handle(String method, String path, Map<String, String> query, byte[] body) {
    if (!up()) {
      return null;
    }
    awaitContinue();
    if (body.length > MAX_BODY) {
      Net.log("%s refuses a request of %d bytes: over 64 KiB", name, body.length);
      return new Net.Answer(413, "{}");
    }
    synchronized (this) {
      progress();
      if (path.equals("/inspect")) {
        if (cutOff) {
          return null;
        }
        return new Net.Answer(200, state());
      }
      JsonNode request = Net.parse(body);
      if (!request.has("baton") || !request.has("tenure")) {
        return new Net.Answer(400, "{}");
      }
      if (cutOff) {
        // A command that was on its way is delivered later. Connection attempts during the cut fail.
        if (!request.path("orders").isEmpty()) {
          Net.log("held back on the way to %s: %s", name, request);
          held.add(request);
        }
        return null;
      }
      if (!obey(request)) {
        return new Net.Answer(409, state());
      }
      return new Net.Answer(200, state());
    }
  }
}
