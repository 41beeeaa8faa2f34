package plumlever.concurrent;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** An event loop whose clock advances only by calls of {@link #advance}. */
public final class ManualEventLoop implements EventLoop {
  private final List<Pending> pending = new ArrayList<>();
  private long nowMicros;

  /** Creates a loop whose clock starts at this time. */
  public ManualEventLoop(long nowMicros) {
    this.nowMicros = nowMicros;
  }

  private record Pending(long dueMicros, Runnable action) {}

  @Override
  public long nowMicros() {
    return nowMicros;
  }

  @Override
  public long wallMicros() {
    return nowMicros;
  }

  @Override
  public Timer after(long delayMicros, Runnable action) {
    Pending added = new Pending(nowMicros + delayMicros, action);
    pending.add(added);
    return () -> pending.remove(added);
  }

  @Override
  public void execute(Runnable action) {
    after(0, action);
  }

  /** Advances the clock by this duration and runs the actions that become due, in time order. */
  public void advance(long micros) {
    long untilMicros = nowMicros + micros;
    while (pending.stream().anyMatch(next -> next.dueMicros() <= untilMicros)) {
      Pending next =
          pending.stream().min(Comparator.comparingLong(Pending::dueMicros)).orElseThrow();
      pending.remove(next);
      nowMicros = Math.max(nowMicros, next.dueMicros());
      next.action().run();
    }
    nowMicros = untilMicros;
  }
}
