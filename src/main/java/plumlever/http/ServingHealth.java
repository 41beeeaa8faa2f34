package plumlever.http;

/**
 * Tells whether this controller can serve user requests. The methods are called for each request.
 */
public interface ServingHealth {
  /** True if this controller can serve user requests. */
  boolean canTakeRequests();

  /**
   * True if the state service serves other controllers but refuses this one, so that users should
   * connect to another controller.
   */
  boolean onlyThisControllerRefused();

  /**
   * True if this controller must not serve the jobs in the state service: the state service holds a
   * pool of shards, but this controller has no sharing settings.
   */
  boolean ineligible();
}
