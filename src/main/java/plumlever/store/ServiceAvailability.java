package plumlever.store;

import plumlever.wire.HttpStatus;

/** Tracks since when the state service has served or refused this controller. */
final class ServiceAvailability {
  private static final long NOT_REFUSED = -1;

  private long lastServedMicros;
  private long refusedSinceMicros = NOT_REFUSED;

  ServiceAvailability(long nowMicros) {
    this.lastServedMicros = nowMicros;
  }

  /**
   * Records the outcome of a request.
   *
   * @param status the status of the response; 0 if no response arrived
   */
  void requestEnded(int status, long nowMicros) {
    if (status != 0 && status != HttpStatus.SERVICE_UNAVAILABLE) {
      lastServedMicros = nowMicros;
      refusedSinceMicros = NOT_REFUSED;
    } else if (refusedSinceMicros < 0) {
      refusedSinceMicros = nowMicros;
    }
  }

  /**
   * Returns when a response with a status other than 503 last arrived; the time of creation if none
   * has arrived.
   */
  long lastServedMicros() {
    return lastServedMicros;
  }

  /**
   * Returns how long every request has been refused or unanswered; 0 if the last request was
   * served.
   */
  long refusedForMicros(long nowMicros) {
    return refusedSinceMicros < 0 ? 0 : nowMicros - refusedSinceMicros;
  }
}
