package plumlever.concurrent;

/**
 * An event loop with its clock: a single thread runs all actions of the loop. The thread of the
 * controller loop owns all scheduling state, so scheduling state needs no locks. The service runs
 * each loop on an XNIO I/O thread; tests use a simulated loop. {@link #execute} and the clocks may
 * be used on any thread; {@link #after} and {@link Timer#cancel} must be called on the thread of
 * the loop.
 */
public interface EventLoop {
  /** Returns the time of the monotonic clock, in microseconds since an arbitrary origin. */
  long nowMicros();

  /**
   * Returns the time of the wall clock, in microseconds since the Unix epoch. The wall clock may
   * deviate from the true time by up to the bound that the deployment guarantees.
   */
  long wallMicros();

  /** Schedules the action to run on the loop after the delay, unless the timer is cancelled. */
  Timer after(long delayMicros, Runnable action);

  /** Schedules the action to run on the loop as soon as possible; callable from any thread. */
  void execute(Runnable action);

  /** A scheduled action that can be cancelled. */
  interface Timer {
    /** Prevents the scheduled action from running; has no effect if the action has already run. */
    void cancel();
  }
}
