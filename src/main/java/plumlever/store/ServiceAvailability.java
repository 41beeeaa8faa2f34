package plumlever.store;

import plumlever.wire.HttpStatus;

/**
 * Records the time at which the state service last served this controller, and for how long it has
 * refused this controller or not responded.
 */
final class ServiceAvailability {
  private static final long NOT_REFUSED = -1;

  private long lastServedMicros;
  private long refusedSinceMicros = NOT_REFUSED;

  ServiceAvailability(long nowMicros) {
    this.lastServedMicros = nowMicros;
  }

  /**
   * Records the outcome of a request to the state service.
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
   * Returns the time at which the state service last responded with a status other than 503; the
   * creation time of this object if it never did.
   */
  long lastServedMicros() {
    return lastServedMicros;
  }

  /**
   * Returns for how long, in microseconds, the state service has refused every request of this
   * controller or not responded; 0 if it served the last request.
   */
  long refusedForMicros(long nowMicros) {
    return refusedSinceMicros < 0 ? 0 : nowMicros - refusedSinceMicros;
  }
}
