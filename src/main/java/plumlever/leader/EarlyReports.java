package plumlever.leader;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import plumlever.concurrent.Loop;
import plumlever.http.Responder;
import plumlever.wire.WorkerReport;

/**
 * Reports of machines with tasks that come before a new leader has read which jobs there are. An
 * answer would renew leases of tasks whose jobs may have been cancelled long ago, so it waits until
 * the leader knows, within the time that a worker waits.
 */
final class EarlyReports {
  /** A worker gives up after 4 s, and what it hears must still get to it. */
  private static final long MOST_MICROS = 2_500_000;

  /** More machines than any deployment has; beyond it they are sent on at once. */
  private static final int MOST = 4_000;

  private record Early(WorkerReport report, Responder out, long atMicros) {}

  private final Loop loop;
  private final Map<String, Early> byHost = new LinkedHashMap<>();

  EarlyReports(Loop loop) {
    this.loop = loop;
  }

  void keep(WorkerReport r, Responder out) {
    long now = loop.nowMicros();
    Early before = byHost.remove(r.host());
    if (before != null) {
      refuse(before);
    }
    Early e = new Early(r, out, now);
    if (byHost.size() >= MOST) {
      refuse(e);
      return;
    }
    byHost.put(r.host(), e);
    loop.after(
        MOST_MICROS,
        () -> {
          if (byHost.remove(r.host(), e)) {
            refuse(e);
          }
        });
  }

  /**
   * The leader knows its jobs: each is taken in a turn of its own, so that what comes meanwhile
   * need not wait for all.
   */
  void release(BiConsumer<WorkerReport, Responder> take) {
    List<Early> all = new ArrayList<>(byHost.values());
    byHost.clear();
    for (Early e : all) {
      loop.execute(
          () -> {
            if (loop.nowMicros() - e.atMicros <= MOST_MICROS) {
              take.accept(e.report, e.out);
            } else {
              refuse(e);
            }
          });
    }
  }

  void close() {
    release((r, out) -> out.later(503, "not in office", 1));
  }

  private static void refuse(Early e) {
    e.out.later(503, "which jobs have ended is not known yet", 1);
  }
}
