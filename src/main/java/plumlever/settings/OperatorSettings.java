package plumlever.settings;

import java.util.Optional;

/**
 * The contents of the operators' settings file.
 *
 * @param sharing how machines are shared among shards; empty if a single shard owns all machines
 */
public record OperatorSettings(SchedulerParameters parameters, Optional<SharingSettings> sharing) {
  /** Returns the settings that are used when no file is given. */
  public static OperatorSettings defaults() {
    return new OperatorSettings(SchedulerParameters.defaults(), Optional.empty());
  }
}
