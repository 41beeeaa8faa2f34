package plumlever.concurrent;

/**
 * The one thread that owns all decision state, with its clock. The service's is an XNIO I/O thread;
 * tests use a simulated one. All methods but {@link #execute} are called on that thread.
 */
public interface Loop {
  /** Steady clock. */
  long nowMicros();

  /** Time of day since 1970; true only within the deployment's bound. */
  long wallMicros();

  Timer after(long delayMicros, Runnable action);

  void execute(Runnable action);

  /** A pending action that can be cancelled. */
  interface Timer {
    void cancel();
  }
}
