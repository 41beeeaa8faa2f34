package plumlever.fleet;

/**
 * What tasks of other cells hold of a machine. They are neither started nor ended here.
 *
 * @param tasks how many may be on it
 */
public record GuestLoad(int tasks, double cores, double accelerators, double memoryGb) {
  /** No task. */
  public static final GuestLoad NONE = new GuestLoad(0, 0, 0, 0);
}
