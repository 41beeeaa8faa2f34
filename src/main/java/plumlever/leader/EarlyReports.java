package plumlever.leader;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import plumlever.concurrent.Loop;
import plumlever.http.Responder;
import plumlever.wire.HttpStatus;
import plumlever.wire.WorkerReport;

/**
 * Reports of machines with tasks that come before a new leader has read which jobs there are. An
 * answer would renew leases of tasks whose jobs may have been cancelled long ago, so it waits until
 * the leader knows, within the time that a worker waits.
 */
final class EarlyReports {
  /** A worker gives up after 4 s, and what it hears must still get to it. */
  private static final long MOST_MICROS = 2_500_000;

  private record Early(WorkerReport report, Responder out, long atMicros) {}

  private final Loop loop;

  /** Each report holds a connection, so there are never more than sockets. */
  private final int most;

  private final Map<String, Early> byHost = new LinkedHashMap<>();

  EarlyReports(Loop loop, int socketLimit) {
    this.loop = loop;
    this.most = socketLimit;
  }

  void keep(WorkerReport report, Responder out) {
    long now = loop.nowMicros();
    Early before = byHost.remove(report.host());
    if (before != null) {
      refuse(before);
    }
    Early early = new Early(report, out, now);
    if (byHost.size() >= most) {
      refuse(early);
      return;
    }
    byHost.put(report.host(), early);
    loop.after(
        MOST_MICROS,
        () -> {
          if (byHost.remove(report.host(), early)) {
            refuse(early);
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
    for (Early early : all) {
      loop.execute(
          () -> {
            if (loop.nowMicros() - early.atMicros <= MOST_MICROS) {
              take.accept(early.report, early.out);
            } else {
              refuse(early);
            }
          });
    }
  }

  void close() {
    release((r, out) -> out.later(HttpStatus.UNAVAILABLE, "not in office", 1));
  }

  private static void refuse(Early early) {
    early.out.later(HttpStatus.UNAVAILABLE, "which jobs have ended is not known yet", 1);
  }
}
