package plumlever.fleet;

/**
 * What tasks of other cells hold of a machine. This cell neither starts nor ends them.
 *
 * @param tasks how many may be on it
 * @param cores of all of them together
 * @param accelerators of all of them together
 * @param memoryGb of all of them together
 */
public record GuestLoad(int tasks, double cores, double accelerators, double memoryGb) {
  /** No task. */
  public static final GuestLoad NONE = new GuestLoad(0, 0, 0, 0);
}
