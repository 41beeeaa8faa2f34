package plumlever.cloud;

import java.util.List;

/**
 * What became of a rental request.
 *
 * @param machineIds of the machines rented, which may be fewer than requested; empty unless any
 *     were
 */
public record RentalResult(Outcome outcome, List<String> machineIds) {
  /** Whether machines were rented, as far as the answer tells. */
  public enum Outcome {
    /** The request was carried out. */
    RENTED,
    /** Surely nothing was rented: the cloud has no more such machines. */
    NO_CAPACITY,
    /** Surely nothing was rented, for another reason; the request may be repeated later. */
    REFUSED,
    /** No answer was understood: machines may have been rented under the request's name. */
    UNKNOWN
  }

  static RentalResult rented(List<String> machineIds) {
    return new RentalResult(Outcome.RENTED, List.copyOf(machineIds));
  }

  static RentalResult without(Outcome outcome) {
    return new RentalResult(outcome, List.of());
  }
}
