package plumlever.sim;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Events on the simulated clock, ordered by time and, for equal times, by order of insertion. */
final class EventQueue {
  private static final long START_MICROS = 1_000_000_000L;

  private record Event(long atMicros, long number, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::number));

  private long eventsAdded;
  private long nowMicros = START_MICROS;

  long nowMicros() {
    return nowMicros;
  }

  /** Schedules the action after the delay; a negative delay counts as zero. */
  void at(long delayMicros, Runnable action) {
    events.add(new Event(nowMicros + Math.max(0, delayMicros), eventsAdded++, action));
  }

  /** Called after each event with the number of the event. */
  interface AfterEvent {
    void ran(long number);
  }

  /** Runs all events that are due by the given time and advances the clock to that time. */
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
