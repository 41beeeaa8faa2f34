package plumlever.http;

/** Whether users' requests are served well by this controller; asked anew for each request. */
public interface ServingHealth {
  /** True when users should be sent to this controller. */
  boolean canTakeRequests();

  /**
   * True when the state service serves other controllers but not this one, so that its users are
   * better off with those.
   */
  boolean isRefusedAlone();

  /** True when this controller may not answer for the jobs in the state service. */
  boolean ineligible();
}
