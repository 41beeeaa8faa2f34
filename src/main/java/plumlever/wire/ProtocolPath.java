package plumlever.wire;

/**
 * Request paths in the protocols of users, workers and the cloud. A constant's name may differ from
 * the path.
 */
public final class ProtocolPath {
  /** Path on a controller: receives a worker's heartbeat. */
  public static final String HEARTBEAT = "/hello";

  /** Path on a worker: receives commands by a direct call. */
  public static final String COMMANDS = "/orders";

  /** Path on a worker: returns the worker's heartbeat without any command. */
  public static final String INSPECT = "/inspect";

  /** Path on a controller: health check, tells whether the controller accepts requests. */
  public static final String HEALTH = "/up";

  /** Path on a controller: accepts submissions; with a job id appended, the path of the job. */
  public static final String SUBMISSIONS = "/submissions";

  /** Appended to a job's path: cancels the job. */
  public static final String CANCEL_SUFFIX = "/abort";

  /** Path on the cloud: lists machine types and their prices. */
  public static final String MACHINE_TYPES = "/catalog";

  /** Path on the cloud: lists the rented machines, and rents machines. */
  public static final String MACHINES = "/hosts";

  /** Path on the cloud: returns rented machines. */
  public static final String RETURN_MACHINES = "/hosts/return";

  private ProtocolPath() {}
}
