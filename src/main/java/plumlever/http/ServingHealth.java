package plumlever.http;

/** Whether this controller can serve user requests. Called for each request. */
public interface ServingHealth {
  /** True if this controller can serve user requests. */
  boolean canTakeRequests();

  /**
   * True if the state service serves other controllers but refuses this one, so that users should
   * connect to another controller.
   */
  boolean onlyThisControllerRefused();

  /**
   * True if this controller must not respond to requests for the jobs in the state service, because
   * the state service holds a pool of shards and this controller lacks the sharing file.
   */
  boolean ineligible();
}
