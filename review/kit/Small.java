import java.nio.file.*;
import java.util.*;

/**
 * A job with many small tasks, of which a large machine has room for more than fit one message of
 * the protocol. TROUBLE=0: the same number of tasks, each of a size of which 64 fit a machine.
 */
final class Small {
  private static final int PIECES = 2_000;
  private static final long WAIT_MS = 90_000;

  public static void main(String[] args) throws Exception {
    Kit.open(Paths.get(args[0]));
    int code;
    try {
      code = run(!"0".equals(System.getenv("TROUBLE")));
    } catch (Throwable e) {
      Kit.note("the case could not run: %s", e);
      code = 2;
    }
    Kit.note("exit %d", code);
    System.exit(code == 0 ? 10 : code == 1 ? 11 : 2);
  }

  private static int run(boolean trouble) throws Exception {
    Cluster c = new Cluster(3, 100, 40, 16, 12);
    c.addMachines(2, "halla-64");
    for (int i = 0; i < 3; i++) {
      c.start(i);
    }
    if (!c.awaitReady(20_000)) {
      return 2;
    }
    // A job of the usual size first: the cluster works.
    c.submit(c.job("job-000001", 4, 1, 500, List.of()), 0);
    if (!done(c, "job-000001", 15_000)) {
      return 2;
    }
    double cores = trouble ? 0.05 : 1;
    Kit.Answer accepted = c.submit(c.job("job-000002", PIECES, cores, 1000, List.of()).put("memory_gb", 0.1), 1);
    if (!accepted.accepted()) {
      return 2;
    }
    long since = Kit.nowMs();
    int node = 0;
    int most = 0;
    while (true) {
      node = (node + 1) % 3;
      Kit.Answer answer = c.poll("job-000002", node);
      most = Math.max(most, c.tasksRunning());
      Kit.note("poll at lever-%d: %d %s; %d tasks run on %d machines", node, answer.status(), answer.body(),
          c.tasksRunning(), c.machinesUp());
      if (answer.json().path("status").asText().equals("done")) {
        return 0;
      }
      if (most > 0 && c.tasksRunning() > 0) {
        since = Kit.nowMs();
      }
      if (Kit.nowMs() - since > WAIT_MS) {
        Kit.note("broken: job-000002 was accepted and no task of it has run for 90 s, while %d machines were free",
            c.machinesUp());
        return 1;
      }
      Kit.sleep(2000);
    }
  }

  private static boolean done(Cluster c, String uid, long ms) {
    long until = Kit.nowMs() + ms;
    while (Kit.nowMs() < until) {
      if (c.poll(uid, 0).json().path("status").asText().equals("done")) {
        return true;
      }
      Kit.sleep(300);
    }
    return false;
  }
}
