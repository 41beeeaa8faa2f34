package plumlever.fleet;

/**
 * The resources that foreign tasks (tasks of other shards) use on a machine. This shard neither
 * starts nor stops foreign tasks.
 *
 * @param tasks maximum number of foreign tasks on the machine
 * @param cores total cores of all foreign tasks
 * @param accelerators total accelerators of all foreign tasks
 * @param memoryGb total memory of all foreign tasks in GB
 */
public record ForeignLoad(int tasks, double cores, double accelerators, double memoryGb) {
  /** The load of a machine that runs no tasks of other shards. */
  public static final ForeignLoad NONE = new ForeignLoad(0, 0, 0, 0);
}
