import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.File;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.TimeUnit;

/** A small deployment: controllers as processes, a cloud with machines that are up, and users. */
final class Cluster {
  private static final String CATALOG = """
      {"flavors":[{"sku":"sobaek-8","cores":8,"accelerators":0,"memory_gb":32,"cache_gb":50,
      "fetch_gb_per_s":0.12,"hourly":0.3,"low_price":0.09,"startup_s":40,"sites":["daejeon-hub","icheon-dc"]},
      {"sku":"halla-64","cores":64,"accelerators":0,"memory_gb":256,"cache_gb":50,
      "fetch_gb_per_s":0.1,"hourly":2.69,"low_price":0.83,"startup_s":25,"sites":["daejeon-hub","icheon-dc"]}]}
      """;
  static final String[] ZONES = {"daejeon-hub", "icheon-dc"};

  final Path root = Paths.get("").toAbsolutePath();
  final Path dir;
  final long reportMs = 3000;
  final long leaseMs = 26_000;
  final long cancelMs = 56_000;
  final StateService state;
  private final int cloudPort;
  private final int count;
  private final String stateLimits;
  private final int[] user;
  private final int[] peer;
  private final Process[] process;
  private final TreeMap<String, Worker> machines = new TreeMap<>();
  private final Map<String, Set<String>> running = new HashMap<>();
  private final Set<String> done = new HashSet<>();
  private final Map<String, Integer> starts = new TreeMap<>();
  private final Map<String, Long> runMsByJob = new HashMap<>();
  final List<String> ranTwice = new ArrayList<>();
  private int machineNumber = 100;

  /** How many more machines of type sobaek-8 the cloud has to rent out. */
  int capacity;

  private final Map<String, String> rentals = new HashMap<>();

  /** The limit of CPUs of the team, as the next settings files state it; 0 for none. */
  double cpusMax = 600;

  /** The operators' file, if there is one; it is handed over with --settings. */
  Path operators;

  Cluster(int count, double rps, double writeRps, int valueKb, int ops) throws Exception {
    this.count = count;
    this.dir = Files.createTempDirectory("plumlever-review");
    this.state = new StateService(rps, writeRps, valueKb * 1024, ops);
    this.cloudPort = Kit.serve(0, this::cloud);
    this.user = new int[count];
    this.peer = new int[count];
    this.process = new Process[count];
    for (int i = 0; i < count; i++) {
      user[i] = Kit.freePort();
      peer[i] = Kit.freePort();
    }
    this.stateLimits = "rps = " + rps + "\nwrite_rps = " + writeRps + "\nvalue_kb = " + (double) valueKb + "\ntxn_ops = " + ops + "\n";
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  private String settings(int i) {
    StringBuilder s = new StringBuilder();
    s.append("label = \"lever-" + i + "\"\narea = \"" + ZONES[i % 2] + "\"\nbind = \"127.0.0.1:" + user[i]
        + "\"\nback = \"127.0.0.1:" + peer[i] + "\"\n");
    for (int j = 0; j < count; j++) {
      if (j != i) {
        s.append("[[seeds]]\nlabel = \"lever-" + j + "\"\narea = \"" + ZONES[j % 2] + "\"\nendpoint = \"127.0.0.1:" + peer[j] + "\"\n");
      }
    }
    s.append("[outside]\ncloud = \"127.0.0.1:" + cloudPort + "\"\nstate = \"127.0.0.1:" + state.port() + "\"\n");
    s.append("[deployment]\ncount = " + count + "\nzones = [\"daejeon-hub\", \"icheon-dc\"]\nskew_ms = 250.0\n");
    s.append("[[deployment.teams]]\nname = \"hub-ops\"\ncpus = " + (cpusMax > 0 ? 16.0 : 0.0) + "\ncpus_max = " + cpusMax + "\ngpus = 0.0\ngpus_max = 0.0\n");
    s.append("[[deployment.objectives]]\nkind = \"wait\"\nclass = \"chute-recalc\"\nwithin_s = 8.0\nshare = 0.88\n");
    s.append("[deployment.workers]\nreport_s = 3.0\nlease_s = 26.0\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = 56.0\n");
    s.append("[deployment.state]\n" + stateLimits);
    s.append("[deployment.cloud]\nrps = 6.0\nlist_lag_s = 5.0\n[deployment.quota]\ncpu_share = 0.204\nmemory_mb = 263.0\nfd_limit = 1500\n");
    return s.toString();
  }

  int nodes() {
    return count;
  }

  int userPort(int node) {
    return user[node];
  }

  int nodeOf(String label) {
    int n = label.startsWith("lever-") ? Integer.parseInt(label.substring(6)) : -1;
    return n < count ? n : -1;
  }

  Path log(int node) {
    return dir.resolve("lever-" + node + ".log");
  }

  void start(int node) throws Exception {
    String run = Files.readAllLines(root.resolve("deploy/service.toml")).stream()
        .filter(l -> l.startsWith("run = ")).findFirst().orElseThrow();
    run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
    List<String> command = new ArrayList<>(List.of(run.split(" ")));
    Path file = dir.resolve("lever-" + node + ".toml");
    Files.writeString(file, settings(node));
    command.add(file.toString());
    if (operators != null) {
      command.add("--settings");
      command.add(operators.toString());
    }
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true);
    builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log(node).toString())));
    process[node] = builder.start();
    Kit.note("controller lever-%d started", node);
  }

  void kill(int node) throws Exception {
    process[node].destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    Kit.note("controller lever-%d killed", node);
  }

  /** Stops the controller in order, with SIGTERM. */
  void stop(int node) throws Exception {
    process[node].destroy();
    if (!process[node].waitFor(10, TimeUnit.SECONDS)) {
      process[node].destroyForcibly().waitFor();
    }
    Kit.note("controller lever-%d stopped", node);
  }

  void signal(int node, String signal) throws Exception {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process[node].pid())).start().waitFor();
    Kit.note("controller lever-%d: signal %s", node, signal);
  }

  Process process(int node) {
    return process[node];
  }

  boolean alive(int node) {
    return process[node] != null && process[node].isAlive();
  }

  void close() {
    for (Process p : process) {
      if (p != null) {
        p.destroyForcibly();
      }
    }
    try {
      Path keep = System.getenv("KEEP_LOGS") == null ? null : Paths.get(System.getenv("KEEP_LOGS"));
      if (keep != null) {
        Files.createDirectories(keep);
      }
      for (Path file : Files.list(dir).toList()) {
        if (keep != null) {
          Files.copy(file, keep.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
        }
        Files.delete(file);
      }
      Files.delete(dir);
    } catch (Exception e) {
      // Nothing depends on the files.
    }
  }

  /** The label of the leader by the answers to a report of an unknown machine; -1 for none. */
  int leader() {
    JsonNode record = state.value("office/leader");
    if (record == null) {
      return -1;
    }
    String text = record.toString();
    for (int i = 0; i < count; i++) {
      if (text.contains("\"lever-" + i + "\"")) {
        return i;
      }
    }
    return -1;
  }

  boolean awaitReady(long ms) {
    long until = Kit.nowMs() + ms;
    while (Kit.nowMs() < until) {
      boolean all = leader() >= 0;
      for (int i = 0; i < count; i++) {
        all &= !alive(i) || Kit.call(user[i], "GET", "/up", null, 1000).status() == 200;
      }
      if (all) {
        return true;
      }
      Kit.sleep(200);
    }
    return false;
  }

  void addMachines(int number) throws Exception {
    addMachines(number, "sobaek-8");
  }

  synchronized void addMachines(int number, String flavor) throws Exception {
    for (int i = 0; i < number; i++) {
      String host = String.format("i-%06d", machineNumber++);
      machines.put(host, new Worker(this, host, flavor, ZONES[i % 2], i % count));
    }
  }

  private void cloud(HttpExchange exchange) throws Exception {
    String path = exchange.getRequestURI().getPath();
    Map<String, String> query = Kit.query(exchange);
    byte[] body = Kit.body(exchange);
    if (path.equals("/catalog")) {
      Kit.reply(exchange, 200, CATALOG);
    } else if (path.equals("/hosts") && exchange.getRequestMethod().equals("GET")) {
      Kit.reply(exchange, 200, list(query));
    } else if (path.equals("/hosts")) {
      String rented = rent(Kit.parse(body));
      Kit.reply(exchange, rented == null ? 503 : 200, rented == null ? "{\"error\":\"no capacity\"}" : rented);
    } else if (path.equals("/hosts/return")) {
      for (JsonNode host : Kit.parse(body).path("hosts")) {
        Worker worker;
        synchronized (this) {
          worker = machines.remove(host.asText());
        }
        if (worker != null) {
          Kit.note("cloud: %s returned", host.asText());
          worker.remove();
        }
      }
      Kit.reply(exchange, 200, "{}");
    } else {
      Kit.reply(exchange, 404, "{}");
    }
  }

  /** Rents machines; their workers begin to report at once. Returns null without capacity. */
  private synchronized String rent(JsonNode request) throws Exception {
    String name = request.path("rental").asText();
    if (rentals.containsKey(name)) {
      return rentals.get(name);
    }
    if (capacity <= 0 || !request.path("flavor").asText().equals("sobaek-8") || request.path("loaners").asBoolean()) {
      return null;
    }
    ObjectNode reply = Kit.object();
    ArrayNode hosts = reply.putArray("hosts");
    for (int i = 0; i < request.path("count").asInt() && capacity > 0; i++) {
      capacity--;
      String host = String.format("i-%06d", machineNumber++);
      machines.put(host, new Worker(this, host, "sobaek-8", request.path("site").asText(), i % count));
      hosts.add(host);
    }
    Kit.note("cloud: %s rents %s", name, hosts);
    rentals.put(name, reply.toString());
    return reply.toString();
  }

  private synchronized String list(Map<String, String> query) {
    ObjectNode reply = Kit.object();
    ArrayNode hosts = reply.putArray("hosts");
    int page = Integer.parseInt(query.getOrDefault("page", "500"));
    boolean more = false;
    for (Worker w : machines.tailMap(query.getOrDefault("since", ""), false).values()) {
      if (hosts.size() == page) {
        more = true;
        break;
      }
      hosts.addObject().put("uid", w.host).put("endpoint", w.endpoint()).put("flavor", w.flavor).put("site", w.site)
          .put("loaners", false).put("status", "running").put("age_s", 60 + Kit.nowMs() / 1000.0);
    }
    return reply.put("more", more).toString();
  }

  // What the workers see.

  synchronized void started(String piece, String host) {
    Set<String> hosts = running.computeIfAbsent(piece, p -> new HashSet<>());
    starts.merge(piece, 1, Integer::sum);
    Kit.note("task %s starts on %s", piece, host);
    if (!hosts.isEmpty()) {
      ranTwice.add(piece + " on " + host + " while on " + hosts);
      Kit.note("task %s starts on %s while it is on %s", piece, host, hosts);
    }
    hosts.add(host);
  }

  synchronized void left(String piece, String host, String why) {
    running.getOrDefault(piece, new HashSet<>()).remove(host);
    Kit.note("task %s leaves %s: %s", piece, host, why);
  }

  synchronized void done(String piece) {
    done.add(piece);
  }

  synchronized boolean isDone(String piece) {
    return done.contains(piece);
  }

  synchronized long runMs(String piece) {
    return runMsByJob.getOrDefault(piece.substring(0, piece.indexOf('/')), 2000L);
  }

  synchronized int starts(String piece) {
    return starts.getOrDefault(piece, 0);
  }

  synchronized int machinesUp() {
    return machines.size();
  }

  synchronized int tasksRunning() {
    return running.values().stream().mapToInt(Set::size).sum();
  }

  // Users.

  ObjectNode job(String uid, int pieces, double cores, long runMs, List<String> waitsOn) {
    synchronized (this) {
      runMsByJob.put(uid, runMs);
    }
    ObjectNode job = Kit.object().put("uid", uid).put("jobclass", "chute-recalc").put("owner", "hub-ops")
        .put("shape", "sweep").put("urgency", "high").put("pieces", pieces).put("cores", cores)
        .put("accelerators", 0.0).put("memory_gb", 3.0).put("bundle", "img-1").put("image_gb", 0.1);
    job.putNull("flavors").putNull("site");
    job.put("one_zone", false).put("spread", false).put("loaners", true).put("expect_s", runMs / 1000.0)
        .put("snapshot_every_s", 0.0).put("snapshot_s", 0.0);
    job.putNull("due_s");
    if (!waitsOn.isEmpty()) {
      ArrayNode waits = job.putArray("waits_on");
      waitsOn.forEach(waits::add);
    }
    return job;
  }

  /** Submits a job as a user does: retried for up to 60 s, at another node each time. */
  Kit.Answer submit(ObjectNode job, int firstNode) {
    long until = Kit.nowMs() + 60_000;
    int node = firstNode;
    while (true) {
      Kit.Answer answer = alive(node) ? Kit.call(user[node], "POST", "/submissions", job.toString(), 5000) : new Kit.Answer(0, "node is down");
      Kit.note("submit %s at lever-%d: %d %s", job.get("uid").asText(), node, answer.status(), answer.body());
      boolean decided = answer.status() == 200 || answer.status() == 201 || answer.status() == 400 || answer.status() == 422;
      if (decided || Kit.nowMs() > until) {
        return answer;
      }
      node = (node + 1) % count;
      Kit.sleep(1000);
    }
  }

  Kit.Answer poll(String uid, int node) {
    return Kit.call(user[node], "GET", "/submissions/" + uid, null, 2000);
  }
}
