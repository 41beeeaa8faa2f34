package plumlever.store;

import plumlever.wire.HttpStatus;

/** Since when the state service serves this controller, or does not. */
final class ServiceAvailability {
  private static final long NOT_REFUSED = -1;

  private long lastServedMicros;
  private long refusedSinceMicros = NOT_REFUSED;

  ServiceAvailability(long nowMicros) {
    this.lastServedMicros = nowMicros;
  }

  /**
   * A request has ended.
   *
   * @param status 0 without an answer
   */
  void requestEnded(int status, long nowMicros) {
    if (status != 0 && status != HttpStatus.UNAVAILABLE) {
      lastServedMicros = nowMicros;
      refusedSinceMicros = NOT_REFUSED;
    } else if (refusedSinceMicros < 0) {
      refusedSinceMicros = nowMicros;
    }
  }

  /** When a request was last answered by anything but 503. */
  long lastServedMicros() {
    return lastServedMicros;
  }

  /** For how long every request has been refused or unanswered; 0 after one that was served. */
  long refusedForMicros(long nowMicros) {
    return refusedSinceMicros < 0 ? 0 : nowMicros - refusedSinceMicros;
  }
}
