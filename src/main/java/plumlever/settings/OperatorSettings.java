package plumlever.settings;

import java.util.Optional;

/**
 * All that the operators' file holds.
 *
 * @param sharing how machines are shared among shards; empty where one shard has them all
 */
public record OperatorSettings(SchedulerParameters parameters, Optional<SharingSettings> sharing) {
  /** The settings that hold without a file. */
  public static OperatorSettings defaults() {
    return new OperatorSettings(SchedulerParameters.defaults(), Optional.empty());
  }
}
