import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.*;
import java.util.*;

/**
 * A leader is killed while chains of jobs run, in a deployment whose state service holds the final
 * states of two days of jobs.
 */
final class History {
  private static final int CHAINS = 42;
  private static final int PIECES = 6;
  private static final long WAIT_MS = 90_000;

  public static void main(String[] args) throws Exception {
    Kit.open(Paths.get(args[0]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int ended = Integer.parseInt(System.getenv().getOrDefault("ENDED", "133000"));
    int code;
    try {
      code = run(trouble, ended);
    } catch (Throwable e) {
      Kit.note("the case could not run: %s", e);
      code = 2;
    }
    Kit.note("exit %d", code);
    System.exit(code == 0 ? 10 : code == 1 ? 11 : 2);
  }

  private static int run(boolean trouble, int ended) throws Exception {
    Cluster c = new Cluster(3, 100, 40, 16, 12);
    c.addMachines(20);
    // One job first: its record is the model of the records of the day before.
    c.start(0);
    if (!c.awaitReady(15_000)) {
      return 2;
    }
    c.submit(c.job("job-000001", 1, 2, 300, List.of()), 0);
    JsonNode model = await(() -> c.state.value("ended/job-000001"), 15_000);
    if (model == null) {
      return 2;
    }
    c.kill(0);
    for (int i = 0; i < ended; i++) {
      c.state.preload("ended/job-" + (1_000_000 + i), model);
    }
    Kit.note("%d ended jobs are on record, each as %s", c.state.count("ended/"), model);
    for (int i = 0; i < 3; i++) {
      c.start(i);
    }
    if (!c.awaitReady(15_000)) {
      return 2;
    }
    List<String> first = new ArrayList<>();
    List<String> second = new ArrayList<>();
    for (int i = 0; i < CHAINS; i++) {
      first.add(String.format("job-%06d", 100 + i));
      second.add(String.format("job-%06d", 200 + i));
    }
    boolean accepted = submitAll(first, (i, uid) -> c.submit(c.job(uid, 1, 1, 500, List.of()), i % 3))
        && await(() -> first.stream().allMatch(a -> c.state.value("ended/" + a) != null) ? true : null, 20_000) != null
        && submitAll(second, (i, uid) -> c.submit(c.job(uid, PIECES, 8, 4000, List.of(first.get(i))), i % 3));
    if (!accepted) {
      return 2;
    }
    // The leader ends while at least 30 jobs wait or run whose first job has ended.
    Object enough = await(() -> {
      int open = 0;
      for (int i = 0; i < CHAINS; i++) {
        boolean begun = c.state.value("ended/" + first.get(i)) != null;
        boolean over = c.state.value("ended/" + second.get(i)) != null;
        open += begun && !over ? 1 : 0;
      }
      return open >= 30 ? open : null;
    }, 20_000);
    if (enough == null) {
      return 2;
    }
    int leader = c.leader();
    Kit.note("leader is lever-%d, %d tasks run", leader, c.tasksRunning());
    if (trouble) {
      c.kill(leader);
      Kit.sleep(6000);
      c.start(leader);
      c.awaitReady(8000);
    }
    long over = Kit.nowMs();
    Kit.note("the trouble is over");
    Set<String> unfinished = new TreeSet<>(second);
    int node = 0;
    int round = 0;
    while (true) {
      // Ten jobs a round, in turn.
      List<String> turn = new ArrayList<>(unfinished);
      Collections.rotate(turn, -10 * round++ % turn.size());
      for (String b : turn.subList(0, Math.min(10, turn.size()))) {
        node = (node + 1) % 3;
        Kit.Answer answer = c.poll(b, node);
        if (answer.status() == 200 && answer.json().path("status").asText().equals("done")) {
          unfinished.remove(b);
        }
      }
      int running = c.tasksRunning();
      Kit.note("%d jobs are not done, %d tasks run on %d machines, leader lever-%d", unfinished.size(), running,
          c.machinesUp(), c.leader());
      if (unfinished.isEmpty()) {
        Kit.note("state service answered: %s", c.state.servedCounts());
        return 0;
      }
      long now = Kit.nowMs();
      // A machine has room for a task of each of these jobs as long as one runs nothing.
      if (running >= c.machinesUp()) {
        over = now;
      }
      if (now - over > WAIT_MS) {
        String one = unfinished.iterator().next();
        for (int each = 0; each < 3; each++) {
          Kit.Answer answer = c.poll(one, each);
          Kit.note("poll %s at lever-%d: %d %s", one, each, answer.status(), answer.body());
        }
        Kit.note("state service answered: %s", c.state.servedCounts());
        Kit.note("broken: %d accepted jobs have waited for 90 s while machines were free: %s", unfinished.size(), unfinished);
        return 1;
      }
      Kit.sleep(500);
    }
  }

  private interface Submission {
    Kit.Answer send(int index, String uid) throws Exception;
  }

  /** Each job is submitted by a user of its own. Returns true if all were accepted. */
  private static boolean submitAll(List<String> uids, Submission submission) throws Exception {
    List<Thread> users = new ArrayList<>();
    Set<String> accepted = Collections.synchronizedSet(new HashSet<>());
    for (int i = 0; i < uids.size(); i++) {
      int index = i;
      Thread user = new Thread(() -> {
        try {
          if (submission.send(index, uids.get(index)).accepted()) {
            accepted.add(uids.get(index));
          }
        } catch (Exception e) {
          Kit.note("user of %s: %s", uids.get(index), e);
        }
      });
      user.start();
      users.add(user);
      Kit.sleep(50);
    }
    for (Thread user : users) {
      user.join();
    }
    return accepted.size() == uids.size();
  }

  private static <T> T await(java.util.concurrent.Callable<T> condition, long ms) throws Exception {
    long until = Kit.nowMs() + ms;
    while (Kit.nowMs() < until) {
      T value = condition.call();
      if (value != null) {
        return value;
      }
      Kit.sleep(100);
    }
    return null;
  }
}
