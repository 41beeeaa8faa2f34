package plumlever.fleet;

/**
 * What tasks of other shards hold of a machine. This shard neither starts nor ends them.
 *
 * @param tasks how many may be on it
 * @param cores of all of them together
 * @param accelerators of all of them together
 * @param memoryGb of all of them together
 */
public record ForeignLoad(int tasks, double cores, double accelerators, double memoryGb) {
  /** No task. */
  public static final ForeignLoad NONE = new ForeignLoad(0, 0, 0, 0);
}
