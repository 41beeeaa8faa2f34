package plumlever.concurrent;

/**
 * An event loop with its clock. A single thread runs the loop and owns all scheduling state, so
 * this state needs no locks. The service runs the loop on an XNIO I/O thread; tests use a simulated
 * loop. All methods except {@link #execute} must be called on the loop's thread.
 */
public interface Loop {
  /** The monotonic clock, in microseconds since an arbitrary origin. */
  long nowMicros();

  /**
   * The wall clock, in microseconds since the Unix epoch. The error of the wall clock is limited
   * only by the deployment's bound.
   */
  long wallMicros();

  /** Schedules the action to run on the loop after the delay, unless the timer is cancelled. */
  Timer after(long delayMicros, Runnable action);

  /** Schedules the action to run on the loop as soon as possible; callable from any thread. */
  void execute(Runnable action);

  /** A scheduled action that can be cancelled. */
  interface Timer {
    /** Cancels the action; has no effect if the action has already run. */
    void cancel();
  }
}
