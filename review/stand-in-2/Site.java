import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A small deployment on loopback: the project's controllers as separate processes, started with the
 * command of the deploy file, and the stand-ins. Settings as in the brief of one of the operators.
 */
final class Site implements AutoCloseable {
  /** How a case ends. */
  static final int HELD = 10;

  static final int BROKEN = 11;
  static final int NOT_RUN = 12;

  /** The settings of a deployment; times in seconds, those of the brief. */
  record Deployment(
      List<String> zones,
      String team,
      String jobClass,
      double leaseS,
      double cancelS,
      double stateRps,
      double writeRps,
      int valueKb,
      int txnOps,
      String teamsAndObjectives) {}

  static final double REPORT_S = 3;

  static final Deployment CEARACLIMA =
      new Deployment(
          List.of("sala-norte", "sala-sul", "sobral-rack", "nuvem-recife"),
          "equipe-modelos",
          "backfill-archive",
          27,
          47,
          250,
          20,
          4,
          8,
          """
          [[deployment.teams]]
          name = "equipe-estacoes"
          cpus = 56.0
          cpus_max = 192.0
          gpus = 0.0
          gpus_max = 0.0
          [[deployment.teams]]
          name = "equipe-modelos"
          cpus = 96.0
          cpus_max = 272.0
          gpus = 0.0
          gpus_max = 0.0
          [[deployment.objectives]]
          kind = "deadline"
          class = "regrid-daily"
          share = 0.9
          times = 1.0
          [[deployment.objectives]]
          kind = "wait"
          class = "backfill-archive"
          within_s = 250.0
          share = 0.9
          [[deployment.objectives]]
          kind = "wait"
          class = "backfill-archive"
          within_s = 400.0
          share = 0.9
          [[deployment.objectives]]
          kind = "guarantee"
          within_s = 90.0
          share = 0.92
          """);

  static final Deployment HANBIT =
      new Deployment(
          List.of("daejeon-hub", "icheon-dc"),
          "hub-ops",
          "scan-archive",
          26,
          56,
          100,
          40,
          16,
          12,
          """
          [[deployment.teams]]
          name = "hub-ops"
          cpus = 0.0
          cpus_max = 0.0
          gpus = 0.0
          gpus_max = 0.0
          [[deployment.objectives]]
          kind = "deadline"
          class = "label-normalize"
          share = 0.93
          times = 1.0
          [[deployment.objectives]]
          kind = "wait"
          class = "scan-archive"
          within_s = 30.0
          share = 0.88
          [[deployment.objectives]]
          kind = "wait"
          class = "scan-archive"
          within_s = 120.0
          share = 0.9
          [[deployment.objectives]]
          kind = "finished"
          class = "scan-archive"
          within_s = 400.0
          share = 0.9
          [[deployment.objectives]]
          kind = "wait"
          class = "chute-recalc"
          within_s = 8.0
          share = 0.88
          [[deployment.objectives]]
          kind = "finished"
          class = "chute-recalc"
          within_s = 50.0
          share = 0.88
          """);

  private final Deployment deployment;
  private final Path repository;
  private final Path folder;
  private final Map<String, String> binds = new LinkedHashMap<>();
  private final Map<String, String> backs = new LinkedHashMap<>();
  private final Map<String, Process> processes = new LinkedHashMap<>();
  final Worker.World world;
  final State state;
  final Cloud cloud;
  String stateAddress;
  String cloudAddress;
  private int nextNode;

  Site(Path repository, Deployment deployment, List<Cloud.Type> types) throws IOException {
    this.repository = repository;
    this.deployment = deployment;
    this.folder = Files.createTempDirectory("plumlever-review");
    for (int i = 0; i < 3; i++) {
      binds.put("lever-" + i, "127.0.0.1:" + Net.freePort());
      backs.put("lever-" + i, "127.0.0.1:" + Net.freePort());
    }
    world = new Worker.World(new ArrayList<>(binds.values()), binds, REPORT_S, deployment.leaseS);
    state =
        new State(
            deployment.stateRps, deployment.writeRps, deployment.valueKb, deployment.txnOps);
    cloud = new Cloud(types, world);
    stateAddress = Net.serve(state);
    cloudAddress = Net.serve(cloud);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  List<String> labels() {
    return new ArrayList<>(binds.keySet());
  }

  String bind(String label) {
    return binds.get(label);
  }

  void kill(String label) {
    processes.get(label).destroyForcibly();
    Net.log("%s is killed", label);
  }

  void startAll() throws IOException {
    for (String label : binds.keySet()) {
      start(label);
    }
  }

  /** Starts a controller with the command of the deploy file. */
  void start(String label) throws IOException {
    Path settings = folder.resolve(label + ".toml");
    Files.writeString(settings, settings(label));
    String run =
        Files.readAllLines(repository.resolve("deploy/service.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
            .findFirst()
            .orElseThrow();
    List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
    command.add(settings.toString());
    ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
    builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("NODE_LOG", "info"));
    File log = folder.resolve(label + ".log").toFile();
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
    processes.put(label, builder.start());
    Net.log("%s is started", label);
  }

  private String settings(String label) {
    StringBuilder text = new StringBuilder();
    List<String> labels = labels();
    text.append("label = \"").append(label).append("\"\n");
    text.append("area = \"").append(zone(label)).append("\"\n");
    text.append("bind = \"").append(binds.get(label)).append("\"\n");
    text.append("back = \"").append(backs.get(label)).append("\"\n");
    for (String other : labels) {
      if (!other.equals(label)) {
        text.append("[[seeds]]\nlabel = \"").append(other).append("\"\n");
        text.append("area = \"").append(zone(other)).append("\"\n");
        text.append("endpoint = \"").append(backs.get(other)).append("\"\n");
      }
    }
    text.append("[outside]\ncloud = \"").append(cloudAddress).append("\"\n");
    text.append("state = \"").append(stateAddress).append("\"\n");
    text.append("[deployment]\ncount = 3\nskew_ms = 250.0\nzones = [\"");
    text.append(String.join("\", \"", deployment.zones)).append("\"]\n");
    text.append(deployment.teamsAndObjectives);
    text.append("[deployment.workers]\nreport_s = 3.0\ngang_wait_s = 30.0\ngang_peer_s = 8.0\n");
    text.append("lease_s = ").append(deployment.leaseS).append("\n");
    text.append("cancel_s = ").append(deployment.cancelS).append("\n");
    text.append("[deployment.state]\nrps = ").append(deployment.stateRps).append("\n");
    text.append("write_rps = ").append(deployment.writeRps).append("\n");
    text.append("value_kb = ").append(deployment.valueKb).append(".0\n");
    text.append("txn_ops = ").append(deployment.txnOps).append("\n");
    text.append("[deployment.cloud]\nrps = 6.0\nlist_lag_s = 3.0\n");
    text.append("[deployment.quota]\ncpu_share = 0.34\nmemory_mb = 263.0\nfd_limit = 1500\n");
    return text.toString();
  }

  private String zone(String label) {
    return deployment.zones.get(labels().indexOf(label) % deployment.zones.size());
  }

  /** Waits until some controller leads and all answer health checks. */
  boolean awaitLeader(double timeoutS) {
    double until = Net.now() + timeoutS;
    while (Net.now() < until) {
      if (!state.leader().isEmpty()
          && processes.values().stream().allMatch(Process::isAlive)
          && labels().stream().allMatch(label -> up(label))) {
        Net.log("%s leads", state.leader());
        return true;
      }
      Net.sleep(0.2);
    }
    return false;
  }

  boolean up(String label) {
    return Net.call("GET", binds.get(label), "/up", null, 1).status() == 200;
  }

  String submission(
      String uid,
      int pieces,
      double cores,
      double memoryGb,
      double expectS,
      String site) {
    return String.format(
        java.util.Locale.ROOT,
        "{\"uid\":\"%s\",\"jobclass\":\"%s\",\"owner\":\"%s\",\"shape\":\"sweep\","
            + "\"urgency\":\"standard\",\"pieces\":%d,\"cores\":%s,\"accelerators\":0.0,\"memory_gb\":%s,"
            + "\"bundle\":\"img-07\",\"image_gb\":0.5,\"flavors\":null,\"site\":%s,"
            + "\"one_zone\":false,\"spread\":false,\"loaners\":true,\"expect_s\":%s,"
            + "\"snapshot_every_s\":0.0,\"snapshot_s\":0.0,\"due_s\":null}",
        uid,
        deployment.jobClass,
        deployment.team,
        pieces,
        cores,
        memoryGb,
        site == null ? "null" : "\"" + site + "\"",
        expectS);
  }

  /** Uploads the job's description for the workers and submits it until it is accepted. */
  boolean submit(String uid, Worker.Job job, String body) {
    world.jobs.put(uid, job);
    double until = Net.now() + 60;
    while (Net.now() < until) {
      Net.Answer answer = user("POST", "/submissions", body, 5);
      if (answer.status() == 201 || answer.status() == 200) {
        return true;
      } else if (answer.status() == 400 || answer.status() == 422) {
        return false;
      }
      Net.sleep(1);
    }
    return false;
  }

  String poll(String uid) {
    Net.Answer answer = user("GET", "/submissions/" + uid, null, 2);
    return answer.status() == 200
        ? Net.parse(answer.body().getBytes()).path("status").asText()
        : Integer.toString(answer.status());
  }

  /** A user's request over the load balancer: the next node that accepts the connection. */
  Net.Answer user(String method, String path, String body, double timeoutS) {
    List<String> labels = labels();
    String label = labels.get(nextNode++ % labels.size());
    double sent = Net.now();
    Net.Answer answer = Net.call(method, binds.get(label), path, body, timeoutS);
    Net.log(
        "user: %s %s at %s: %d after %.0f ms %s",
        method,
        path,
        label,
        answer.status(),
        (Net.now() - sent) * 1000,
        answer.body().length() > 120 ? answer.body().substring(0, 120) : answer.body());
    return answer;
  }

  /** Copies the last lines of the leader's log into the record. */
  void recordLogs() {
    for (String label : labels()) {
      try {
        List<String> lines = Files.readAllLines(folder.resolve(label + ".log"));
        lines.removeIf(line -> line.contains("summary "));
        for (String line : lines.subList(Math.max(0, lines.size() - 15), lines.size())) {
          Net.log("log of %s: %s", label, line);
        }
      } catch (IOException e) {
        Net.log("no log of %s", label);
      }
    }
  }

  @Override
  public synchronized void close() {
    for (Process process : processes.values()) {
      process.destroyForcibly();
    }
    for (Process process : processes.values()) {
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
    File[] files = folder.toFile().listFiles();
    if (files != null) {
      Arrays.stream(files).forEach(File::delete);
      folder.toFile().delete();
    }
  }
}
