package plumlever.concurrent;

/**
 * An event loop: the one thread that owns all decision state, with its clock. The service's is an
 * XNIO I/O thread; tests use a simulated one. All methods but {@link #execute} are called on that
 * thread.
 */
public interface Loop {
  /** The steady clock, in microseconds since an arbitrary time. */
  long nowMicros();

  /** The time of day, in microseconds since 1970; accurate only within the deployment's bound. */
  long wallMicros();

  /** Runs the action on the loop after the delay, unless the timer is cancelled before. */
  Timer after(long delayMicros, Runnable action);

  /** Runs the action on the loop soon; may be called on any thread. */
  void execute(Runnable action);

  /** A pending action that can be cancelled. */
  interface Timer {
    /** The action does not run any more; without effect if it has run. */
    void cancel();
  }
}
