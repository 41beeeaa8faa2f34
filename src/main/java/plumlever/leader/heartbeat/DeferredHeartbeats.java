package plumlever.leader.heartbeat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import plumlever.concurrent.EventLoop;
import plumlever.http.Responder;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;

/**
 * Defers the heartbeats of machines with tasks that arrive before a new leader has loaded the jobs.
 * An immediate response would renew the leases of tasks whose jobs may have been cancelled long
 * ago. The response is deferred until the jobs are loaded, but not beyond the worker's request
 * timeout.
 */
public final class DeferredHeartbeats {
  /**
   * Limits how long a heartbeat is deferred. A worker's request times out after 4 s; the remaining
   * time is left for the response to arrive.
   */
  private static final long MAX_WAIT_MICROS = 2_500_000;

  private record Deferred(Heartbeat heartbeat, Responder out, long receivedMicros) {}

  private final EventLoop loop;

  /** The most heartbeats deferred at a time; each deferred heartbeat holds a connection open. */
  private final int capacity;

  private final Map<String, Deferred> byMachine = new LinkedHashMap<>();

  /**
   * Creates a queue without deferred heartbeats.
   *
   * @param capacity the most heartbeats that can be deferred at a time
   */
  public DeferredHeartbeats(EventLoop loop, int capacity) {
    this.loop = loop;
    this.capacity = capacity;
  }

  /**
   * Defers the heartbeat until the jobs are loaded, or refuses it if the queue is full. A later
   * heartbeat of a machine replaces the machine's earlier one, which is refused.
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
   * Answers all deferred heartbeats after the jobs have been loaded. Each heartbeat is answered in
   * a separate event of the loop, so that requests arriving in the meantime do not wait until all
   * heartbeats are answered.
   */
  public void release(BiConsumer<Heartbeat, Responder> handler) {
    List<Deferred> all = new ArrayList<>(byMachine.values());
    byMachine.clear();
    for (Deferred deferred : all) {
      loop.execute(
          () -> {
            if (loop.nowMicros() - deferred.receivedMicros <= MAX_WAIT_MICROS) {
              handler.accept(deferred.heartbeat, deferred.out);
            } else {
              refuse(deferred);
            }
          });
    }
  }

  /** Refuses all deferred heartbeats because this controller no longer leads. */
  public void close() {
    release((heartbeat, out) -> out.retryLater(HttpStatus.SERVICE_UNAVAILABLE, "not in office", 1));
  }

  private static void refuse(Deferred deferred) {
    deferred.out.retryLater(
        HttpStatus.SERVICE_UNAVAILABLE, "which jobs have ended is not known yet", 1);
  }
}
