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
 * Heartbeats of machines with tasks that arrive before a new leader has read which jobs there are.
 * An answer would renew leases of tasks whose jobs may have been cancelled long ago, so it is
 * deferred until the leader knows, within the time that a worker waits.
 */
public final class DeferredHeartbeats {
  /** A worker gives up after 4 s, and the answer needs time to reach it. */
  private static final long MAX_WAIT_MICROS = 2_500_000;

  private record Deferred(Heartbeat heartbeat, Responder out, long receivedMicros) {}

  private final Loop loop;

  /** Each deferred heartbeat holds a connection. */
  private final int capacity;

  private final Map<String, Deferred> byMachine = new LinkedHashMap<>();

  /**
   * Defers no heartbeat yet.
   *
   * @param socketLimit the most heartbeats that can be deferred at a time
   */
  public DeferredHeartbeats(Loop loop, int socketLimit) {
    this.loop = loop;
    this.capacity = socketLimit;
  }

  /**
   * Keeps the heartbeat until the jobs are known, or refuses it if too many wait. A later heartbeat
   * of a machine replaces its earlier one, which is refused.
   */
  public void defer(Heartbeat heartbeat, Responder out) {
    long now = loop.nowMicros();
    Deferred previous = byMachine.remove(heartbeat.machineId());
    if (previous != null) {
      refuse(previous);
    }
    Deferred deferred = new Deferred(heartbeat, out, now);
    if (byMachine.size() >= capacity) {
      refuse(deferred);
      return;
    }
    byMachine.put(heartbeat.machineId(), deferred);
    loop.after(
        MAX_WAIT_MICROS,
        () -> {
          if (byMachine.remove(heartbeat.machineId(), deferred)) {
            refuse(deferred);
          }
        });
  }

  /**
   * Answers all deferred heartbeats now that the jobs are known. Each is answered in an event of
   * its own, so that requests which arrive meanwhile need not wait for all of them.
   */
  public void release(BiConsumer<Heartbeat, Responder> answer) {
    List<Deferred> all = new ArrayList<>(byMachine.values());
    byMachine.clear();
    for (Deferred deferred : all) {
      loop.execute(
          () -> {
            if (loop.nowMicros() - deferred.receivedMicros <= MAX_WAIT_MICROS) {
              answer.accept(deferred.heartbeat, deferred.out);
            } else {
              refuse(deferred);
            }
          });
    }
  }

  /** Refuses all deferred heartbeats: this controller no longer leads. */
  public void close() {
    release((heartbeat, out) -> out.retryLater(HttpStatus.UNAVAILABLE, "not in office", 1));
  }

  private static void refuse(Deferred deferred) {
    deferred.out.retryLater(HttpStatus.UNAVAILABLE, "which jobs have ended is not known yet", 1);
  }
}
