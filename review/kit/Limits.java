import java.nio.file.*;
import java.util.*;

/**
 * Three cells share machines. The team's limit of CPUs is lowered in the settings, and the
 * controllers are restarted one after the other with the new settings. TROUBLE=0: the settings
 * state the lower limit from the beginning; the restarts are the same.
 */
final class Limits {
  private static final double BEFORE = 64;
  private static final double AFTER = 56;

  public static void main(String[] args) throws Exception {
    Kit.open(Paths.get(args[0]));
    int code;
    try {
      code = run(!"0".equals(System.getenv("TROUBLE")));
    } catch (Exception e) {
      Kit.note("the case could not run: %s", e);
      code = 2;
    }
    Kit.note("exit %d", code);
    System.exit(code);
  }

  private static int run(boolean trouble) throws Exception {
    Cluster c = new Cluster(3, 250, 40, 16, 12);
    c.operators = c.dir.resolve("sharing.yaml");
    Files.writeString(c.operators, """
        sharing:
          machines: 12
          cells:
            - name: east
              controllers: [lever-0]
              floor: 2
            - name: north
              controllers: [lever-1]
              floor: 2
            - name: west
              controllers: [lever-2]
              floor: 2
        """);
    c.cpusMax = trouble ? BEFORE : AFTER;
    c.addMachines(12);
    for (int i = 0; i < 3; i++) {
      c.start(i);
    }
    // The cells claim the machines; then each runs a job.
    for (int i = 0; i < 3; i++) {
      if (!c.submit(c.job("job-00000" + i, 4, 1, 500, List.of()), i).accepted()) {
        return 2;
      }
    }
    for (int i = 0; i < 3; i++) {
      if (!done(c, "job-00000" + i, 45_000)) {
        return 2;
      }
    }
    Kit.note("the cells run jobs; pool/limits/hub-ops: %s", c.state.value("pool/limits/hub-ops"));
    c.cpusMax = AFTER;
    for (int i = 0; i < 3; i++) {
      c.stop(i);
      c.start(i);
      Kit.sleep(4000);
    }
    Kit.note("all controllers run with cpus_max = %.1f; %d tasks run", c.cpusMax, c.tasksRunning());
    if (c.tasksRunning() > 0) {
      return 2;
    }
    for (int i = 0; i < 3; i++) {
      if (!c.submit(c.job("job-00001" + i, 60, 1, 6000, List.of()), i).accepted()) {
        return 2;
      }
    }
    int most = 0;
    long until = Kit.nowMs() + 35_000;
    while (Kit.nowMs() < until) {
      int running = c.tasksRunning();
      if (running > most) {
        most = running;
        Kit.note("team hub-ops: %d tasks of 1 CPU run, the limit is %.1f", running, AFTER);
      }
      Kit.sleep(20);
    }
    Kit.note("most CPUs in use: %d, limit %.1f; pool/limits/hub-ops: %s", most, AFTER, c.state.value("pool/limits/hub-ops"));
    if (most == 0) {
      return 2;
    }
    return most > AFTER ? 1 : 0;
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
