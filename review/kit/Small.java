import java.nio.file.*;
import java.util.*;

/** A job with many small tasks, of which a large machine holds more than a thousand. */
final class Small {
  public static void main(String[] args) throws Exception {
    Kit.open(Paths.get(args[0]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Cluster c = new Cluster(3, 100, 40, 16, 12);
    c.addMachines(2, "halla-64");
    for (int i = 0; i < 3; i++) {
      c.start(i);
    }
    if (!c.awaitReady(20_000)) {
      System.exit(2);
    }
    double cores = trouble ? Double.parseDouble(System.getenv().getOrDefault("CORES", "0.05")) : 1;
    c.submit(c.job("job-000001", 3000, cores, 3000, List.of()).put("memory_gb", 0.1), 0);
    long start = Kit.nowMs();
    String last = "";
    while (Kit.nowMs() - start < 95_000) {
      Kit.Answer a = c.poll("job-000001", 1);
      Kit.note("poll: %d %s; %d tasks run", a.status(), a.body(), c.tasksRunning());
      if (a.json().path("status").asText().equals("done")) {
        System.exit(0);
      }
      Kit.sleep(2000);
    }
    System.exit(1);
  }
}
