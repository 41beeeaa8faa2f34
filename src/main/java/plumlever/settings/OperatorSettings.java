package plumlever.settings;

import java.util.Optional;

/**
 * All that the operators' file holds.
 *
 * @param sharing how machines are shared among cells, where they are
 */
public record OperatorSettings(SchedulerParameters parameters, Optional<SharingSettings> sharing) {
  /** What holds without a file. */
  public static OperatorSettings defaults() {
    return new OperatorSettings(SchedulerParameters.defaults(), Optional.empty());
  }
}
