import java.nio.file.*;
import java.util.*;

/**
 * Operators change the sharing file: a controller becomes a cell of its own. They restart the
 * controllers with the new file, and the rollout stops after the first one. TROUBLE=0: the rollout
 * is complete.
 */
final class Rollout {
  private static final String BEFORE = """
      sharing:
        machines: 12
        cells:
          - name: east
            controllers: [lever-0]
            floor: 2
          - name: north
            controllers: [lever-1, lever-2]
            floor: 2
      """;
  private static final String AFTER = """
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
      """;

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
    Cluster c = new Cluster(3, 250, 40, 16, 12);
    c.operators = c.dir.resolve("sharing.yaml");
    Files.writeString(c.operators, BEFORE);
    c.capacity = 12;
    c.cpusMax = 0;
    for (int i = 0; i < 3; i++) {
      c.start(i);
    }
    // A job in each cell first, so that both have machines and work.
    Kit.sleep(1500);
    for (int i = 0; i < 2; i++) {
      if (!c.submit(c.job("job-00000" + i, 4, 1, 500, List.of()), i).accepted()) {
        return 2;
      }
    }
    for (int i = 0; i < 2; i++) {
      if (!done(c, "job-00000" + i, 30_000)) {
        return 2;
      }
    }
    c.operators = c.dir.resolve("sharing-new.yaml");
    Files.writeString(c.operators, AFTER);
    for (int node : trouble ? new int[] {2} : new int[] {2, 1, 0}) {
      c.stop(node);
      c.start(node);
      Kit.sleep(4000);
    }
    Kit.note("the rollout has %s", trouble ? "stopped after lever-2" : "ended");
    // The user's first connection goes to lever-2, the later ones to the other nodes.
    String uid = "job-000010";
    var job = c.job(uid, 6, 1, 20_000, List.of());
    Kit.Answer first = Kit.call(c.userPort(2), "POST", "/submissions", job.toString(), 5000);
    Kit.note("submit %s at lever-2: %d %s", uid, first.status(), first.body());
    if (!first.accepted()) {
      return 2;
    }
    boolean broken = false;
    for (int node = 0; node < 3; node++) {
      Kit.Answer answer = c.poll(uid, node);
      Kit.note("poll %s at lever-%d: %d %s", uid, node, answer.status(), answer.body());
      if (answer.status() == 404) {
        Kit.note("broken: forgotten, an accepted job gets the answer 404");
        broken = true;
      }
    }
    Kit.Answer repeat = Kit.call(c.userPort(0), "POST", "/submissions", job.toString(), 5000);
    Kit.note("submit %s once more, at lever-0: %d %s", uid, repeat.status(), repeat.body());
    long until = Kit.nowMs() + 40_000;
    while (Kit.nowMs() < until && c.ranTwice.isEmpty()) {
      Kit.sleep(200);
    }
    for (String task : c.ranTwice) {
      Kit.note("broken: ran_twice, %s", task);
      broken = true;
    }
    if (c.starts(uid + "/0") == 0) {
      Kit.note("the job did not run");
    }
    return broken ? 1 : 0;
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
