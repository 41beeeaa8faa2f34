package plumlever.cloud;

import java.util.List;

/**
 * The outcome of a rental request.
 *
 * @param machineIds ids of the rented machines, which may be fewer than requested; empty if none
 *     were rented
 */
public record RentalResult(Outcome outcome, List<String> machineIds) {
  /** Says whether machines were rented, as far as the response of the cloud shows. */
  public enum Outcome {
    /** The cloud executed the request. */
    RENTED,
    /** Nothing was rented, because the cloud has no more machines of this kind. */
    NO_CAPACITY,
    /** Nothing was rented, for another reason. The request may be repeated later. */
    REFUSED,
    /** There was no valid response. Machines may have been rented under the request's id. */
    UNKNOWN
  }

  static RentalResult rented(List<String> machineIds) {
    return new RentalResult(Outcome.RENTED, List.copyOf(machineIds));
  }

  static RentalResult withoutMachines(Outcome outcome) {
    return new RentalResult(outcome, List.of());
  }
}
