package plumlever.warmup;

import java.util.Comparator;
import java.util.PriorityQueue;
import plumlever.concurrent.EventLoop;

/** An event loop with a simulated clock: each step advances the clock to the next event. */
final class WarmUpLoop implements EventLoop {
  private record Event(long dueMicros, long sequenceNumber, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::dueMicros).thenComparingLong(Event::sequenceNumber));
  private final long wallStartMicros;
  private long now;
  private long nextSequenceNumber;

  WarmUpLoop(long wallStartMicros) {
    this.wallStartMicros = wallStartMicros;
  }

  /** Runs the next event if it is due at the given time or earlier; otherwise returns false. */
  boolean runNextEvent(long untilMicros) {
    Event event = events.peek();
    if (event == null || event.dueMicros > untilMicros) {
      return false;
    }
    events.poll();
    now = Math.max(now, event.dueMicros);
    event.action.run();
    return true;
  }

  @Override
  public long nowMicros() {
    return now;
  }

  @Override
  public long wallMicros() {
    return wallStartMicros + now;
  }

  @Override
  public Timer after(long delayMicros, Runnable action) {
    boolean[] cancelled = new boolean[1];
    events.add(
        new Event(
            now + Math.max(0, delayMicros),
            nextSequenceNumber++,
            () -> {
              if (!cancelled[0]) {
                action.run();
              }
            }));
    return () -> cancelled[0] = true;
  }

  @Override
  public void execute(Runnable action) {
    after(0, action);
  }
}
