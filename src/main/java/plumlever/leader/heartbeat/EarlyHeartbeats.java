package plumlever.leader.heartbeat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import plumlever.concurrent.Loop;
import plumlever.http.Responder;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;

/**
 * Heartbeats of machines with tasks that come before a new leader has read which jobs there are. An
 * answer would renew leases of tasks whose jobs may have been cancelled long ago, so it waits until
 * the leader knows, within the time that a worker waits.
 */
public final class EarlyHeartbeats {
  /** A worker gives up after 4 s, and what it hears must still get to it. */
  private static final long MOST_MICROS = 2_500_000;

  private record Early(Heartbeat heartbeat, Responder out, long atMicros) {}

  private final Loop loop;

  /** Each heartbeat holds a connection, so there are never more than sockets. */
  private final int most;

  private final Map<String, Early> byMachine = new LinkedHashMap<>();

  public EarlyHeartbeats(Loop loop, int socketLimit) {
    this.loop = loop;
    this.most = socketLimit;
  }

  /** Keeps the heartbeat until the jobs are known, or refuses it if too many wait. */
  public void keep(Heartbeat heartbeat, Responder out) {
    long now = loop.nowMicros();
    Early before = byMachine.remove(heartbeat.machineId());
    if (before != null) {
      refuse(before);
    }
    Early early = new Early(heartbeat, out, now);
    if (byMachine.size() >= most) {
      refuse(early);
      return;
    }
    byMachine.put(heartbeat.machineId(), early);
    loop.after(
        MOST_MICROS,
        () -> {
          if (byMachine.remove(heartbeat.machineId(), early)) {
            refuse(early);
          }
        });
  }

  /**
   * The leader knows its jobs: each is taken in a turn of its own, so that what comes meanwhile
   * need not wait for all.
   */
  public void release(BiConsumer<Heartbeat, Responder> take) {
    List<Early> all = new ArrayList<>(byMachine.values());
    byMachine.clear();
    for (Early early : all) {
      loop.execute(
          () -> {
            if (loop.nowMicros() - early.atMicros <= MOST_MICROS) {
              take.accept(early.heartbeat, early.out);
            } else {
              refuse(early);
            }
          });
    }
  }

  public void close() {
    release((r, out) -> out.retryLater(HttpStatus.UNAVAILABLE, "not in office", 1));
  }

  private static void refuse(Early early) {
    early.out.retryLater(HttpStatus.UNAVAILABLE, "which jobs have ended is not known yet", 1);
  }
}
