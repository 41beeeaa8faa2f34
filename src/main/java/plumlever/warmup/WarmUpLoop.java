package plumlever.warmup;

import java.util.Comparator;
import java.util.PriorityQueue;
import plumlever.concurrent.Loop;

/** An event loop with a simulated clock: each step advances the clock to the next event. */
final class WarmUpLoop implements Loop {
  private record Event(long at, long seq, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::seq));
  private final long wallStartMicros;
  private long now;
  private long seq;

  WarmUpLoop(long wallFromMicros) {
    this.wallStartMicros = wallFromMicros;
  }

  /** Runs the next event that is due by the given time; returns false if there is none. */
  boolean runNextEvent(long untilMicros) {
    Event event = events.peek();
    if (event == null || event.at > untilMicros) {
      return false;
    }
    events.poll();
    now = Math.max(now, event.at);
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
            seq++,
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
