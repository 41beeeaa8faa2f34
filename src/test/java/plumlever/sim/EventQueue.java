package plumlever.sim;

import java.util.Comparator;
import java.util.PriorityQueue;

/** What is to happen on the simulated clock, in the order of time and then of entry. */
final class EventQueue {
  private static final long START_MICROS = 1_000_000_000L;

  private record Event(long atMicros, long number, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::number));

  private long entered;
  private long nowMicros = START_MICROS;

  long nowMicros() {
    return nowMicros;
  }

  /** Has the action run after the delay, or at once in its turn if there is none. */
  void at(long delayMicros, Runnable action) {
    events.add(new Event(nowMicros + Math.max(0, delayMicros), entered++, action));
  }

  /** Takes the number of the event that was run. */
  interface AfterEvent {
    void ran(long number);
  }

  /** Runs all that is due by then; the clock then stands there. */
  void runUntil(long micros, AfterEvent afterEvent) {
    while (!events.isEmpty() && events.peek().atMicros <= micros) {
      Event event = events.poll();
      nowMicros = Math.max(nowMicros, event.atMicros);
      event.action.run();
      afterEvent.ran(event.number);
    }
    nowMicros = Math.max(nowMicros, micros);
  }
}
