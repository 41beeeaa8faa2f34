import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** The cases of the review, by name. Arguments: the repository, the case, the record. */
final class Faults {
  private static final String NEAR = "daejeon-hub";
  private static final String FAR = "icheon-dc";

  private Faults() {}

  public static void main(String[] args) throws IOException {
    Net.recordTo(Path.of(args[2]));
    Net.log("%s, %s the disruption", args[1], Site.trouble() ? "with" : "without");
    int result;
    try {
      result =
          switch (args[1]) {
            case "faulty-machine" -> faultyMachine(Path.of(args[0]));
            case "one-error" -> oneError(Path.of(args[0]));
            case "hang" -> hang(Path.of(args[0]));
            case "exhausted-zone" -> exhaustedZone(Path.of(args[0]));
            case "held-start" -> heldStart(Path.of(args[0]));
            default -> Site.NOT_RUN;
          };
    } catch (IOException | RuntimeException e) {
      Net.log("the case could not run: %s", e);
      result = Site.NOT_RUN;
    }
    Net.log("result: %d", result);
    System.out.println(args[1] + ": " + result);
    System.exit(result);
  }

  /** A deployment of Hanbit's kind; all machines that the cloud has are up. */
  private static Site site(Path repository, int perZone) throws IOException {
    Cloud.Type type = new Cloud.Type("sobaek-8", 8, 32, 40, List.of(NEAR, FAR), perZone);
    return new Site(repository, Site.HANBIT, List.of(type));
  }

  /** Starts the controllers; false if none leads in time. */
  private static boolean ready(Site site) throws IOException {
    site.startAll();
    if (!site.awaitLeader(20)) {
      Net.log("no controller leads");
      return false;
    }
    Net.sleep(4);
    return true;
  }

  private static boolean submit(
      Site site, String uid, int pieces, double cores, double memory, double runS, String zone) {
    boolean accepted =
        site.submit(
            uid,
            new Worker.Job(cores, memory, pieces, runS),
            site.submission(uid, pieces, cores, memory, runS, zone));
    Net.log("%s is %saccepted", uid, accepted ? "" : "not ");
    return accepted;
  }

  /** Polls every 5 s until the job is done or the time is over. */
  private static boolean done(Site site, String uid, double until) {
    while (Net.now() < until) {
      if (site.poll(uid).equals("done")) {
        return true;
      }
      Net.sleep(Math.min(5, Math.max(0.1, until - Net.now())));
    }
    return site.poll(uid).equals("done");
  }

  private static int result(Site site, boolean held) {
    site.recordLogs();
    return held ? Site.HELD : Site.BROKEN;
  }

  /**
   * One machine is faulty, one is healthy and idle. A third one, in another zone, runs other work
   * all the time, so that the scheduler always has an occasion to start the job again.
   */
  private static int faultyMachine(Path repository) throws IOException {
    try (Site site = site(repository, 2)) {
      Worker faulty = site.cloud.add("sobaek-8", NEAR, 0);
      Worker healthy = site.cloud.add("sobaek-8", NEAR, 0);
      Worker other = site.cloud.add("sobaek-8", FAR, 0);
      site.cloud.add("sobaek-8", FAR, 0);
      if (!ready(site)) {
        return Site.NOT_RUN;
      }
      faulty.faulty = Site.trouble();
      if (!submit(site, "job-000001", 1, 2, 4, 10, NEAR)) {
        return Site.NOT_RUN;
      }
      double until = Net.now() + 85;
      int next = 1000;
      boolean done = false;
      while (!done && Net.now() < until) {
        if (!submit(site, "job-" + next++, 1, 2, 4, 2, FAR)) {
          return Site.NOT_RUN;
        }
        Net.sleep(4);
        done = site.poll("job-000001").equals("done");
      }
      Net.log(
          "starts: %s (faulty) %d, of them failed %d; %s (healthy) %d; %s (other work) %d",
          faulty.name, faulty.starts, faulty.errors, healthy.name, healthy.starts, other.name,
          other.starts);
      return result(site, done);
    }
  }

  /** Two long tasks keep the machines of both zones in use, with room for more beside them. */
  private static boolean submitLongWork(Site site) {
    boolean accepted =
        submit(site, "job-000001", 1, 2, 4, 7200, NEAR)
            && submit(site, "job-000002", 1, 2, 4, 7200, FAR);
    Net.sleep(4);
    return accepted;
  }

  /** A job's only task fails once; two machines have room for it all the time. */
  private static int oneError(Path repository) throws IOException {
    try (Site site = site(repository, 1)) {
      site.cloud.add("sobaek-8", NEAR, 0);
      site.cloud.add("sobaek-8", FAR, 0);
      if (!ready(site) || !submitLongWork(site)) {
        return Site.NOT_RUN;
      }
      if (Site.trouble()) {
        site.world.failing.add("job-000003/0");
      }
      if (!submit(site, "job-000003", 1, 2, 4, 5, null)) {
        return Site.NOT_RUN;
      }
      return result(site, done(site, "job-000003", Net.now() + 80));
    }
  }

  /** The only machine of a zone hangs for a few seconds; meanwhile a job for the zone arrives. */
  private static int hang(Path repository) throws IOException {
    // A hang of 8 s is far below the lease (26 s): the machine keeps its tasks.
    try (Site site = site(repository, 1)) {
      Worker hanging = site.cloud.add("sobaek-8", NEAR, 0);
      site.cloud.add("sobaek-8", FAR, 0);
      if (!ready(site) || !submitLongWork(site)) {
        return Site.NOT_RUN;
      }
      hanging.hangAfterReportS = Site.trouble() ? 8 : 0;
      while (hanging.hangAfterReportS > 0) {
        Net.sleep(0.02);
      }
      Net.sleep(6.5);
      if (!submit(site, "job-000003", 1, 2, 4, 5, NEAR)) {
        return Site.NOT_RUN;
      }
      return result(site, done(site, "job-000003", Net.now() + 75));
    }
  }

  /** Jobs wait for a zone without machines; a job for another zone, which has some, comes after them. */
  private static int exhaustedZone(Path repository) throws IOException {
    String full = "sobral-rack";
    String free = "sala-sul";
    List<Cloud.Type> types =
        List.of(new Cloud.Type("caju-large", 8, 64, 10, List.of(full, free), 2));
    try (Site site = new Site(repository, Site.CEARACLIMA, types)) {
      site.cloud.exhausted.add(full);
      if (!ready(site)) {
        return Site.NOT_RUN;
      }
      int waiting = Site.trouble() ? 26 : 5;
      for (int i = 0; i < waiting; i++) {
        if (!submit(site, "job-" + (1000 + i), 1, 1, 2.4, 20, full)) {
          return Site.NOT_RUN;
        }
      }
      Net.sleep(3);
      if (!submit(site, "job-2000", 1, 1, 2.4, 10, free)) {
        return Site.NOT_RUN;
      }
      return result(site, done(site, "job-2000", Net.now() + 85));
    }
  }

  /**
   * A zone is cut off right after a report, with a start on its way to each of its two machines. The
   * job is cancelled, the leader ends. Late in the lease the cut ends for one report.
   */
  private static int heldStart(Path repository) throws IOException {
    String zone = "sobral-rack";
    List<Cloud.Type> types =
        List.of(new Cloud.Type("caju-large", 8, 64, 25, List.of("sala-sul", zone), 2));
    try (Site site = new Site(repository, Site.CEARACLIMA, types)) {
      List<Worker> cut =
          List.of(site.cloud.add("caju-large", zone, 0), site.cloud.add("caju-large", zone, 0));
      site.cloud.add("caju-large", "sala-sul", 0);
      site.cloud.add("caju-large", "sala-sul", 0);
      // A first job in the zone, after which the leader has a connection to each of its machines.
      if (!ready(site)
          || !submit(site, "job-000001", 2, 8, 16, 2, zone)
          || !done(site, "job-000001", Net.now() + 15)) {
        return Site.NOT_RUN;
      }
      if (Site.trouble()) {
        Worker.awaitReports(cut);
        cut.forEach(worker -> worker.cutOff = true);
        Net.log("the zone %s is cut off", zone);
      }
      double began = Net.now();
      if (!submit(site, "job-000002", 2, 8, 16, 300, zone)) {
        return Site.NOT_RUN;
      }
      while (Net.now() < began + 3 && cut.stream().anyMatch(w -> w.heldCommands() + w.live() == 0)) {
        Net.sleep(0.02);
      }
      double cancelled = cancel(site, "job-000002");
      String leader = site.state.leader();
      if (Site.trouble()) {
        site.kill(leader);
        Net.sleep(6);
        site.start(leader);
        Net.sleep(began + 25 - Net.now());
        String next = site.state.leader();
        Net.log("%s leads; the cut ends for one report", next);
        for (Worker worker : cut) {
          worker.reportTo = site.bind(next);
          worker.oneReport = true;
        }
      }
      double limit = cancelled + 47;
      int late = 0;
      while (Net.now() < limit + 6) {
        Net.sleep(0.2);
        if (Net.now() > limit) {
          int live = cut.stream().mapToInt(Worker::live).sum();
          if (live > 0 && late == 0) {
            Net.log("%d tasks run %.1f s after the cancellation", live, Net.now() - cancelled);
          }
          late = Math.max(late, live);
        }
      }
      return result(site, late == 0);
    }
  }

  /** Cancels a job; returns when its user was told. */
  private static double cancel(Site site, String uid) {
    while (true) {
      Net.Answer answer = site.user("POST", "/submissions/" + uid + "/abort", null, 5);
      if (answer.status() == 200) {
        return Net.now();
      }
      Net.sleep(1);
    }
  }
}
