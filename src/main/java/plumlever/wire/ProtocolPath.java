package plumlever.wire;

/** Paths of the requests of users, workers and the cloud, by the terms that the code uses. */
public final class ProtocolPath {
  /** A worker's heartbeat. */
  public static final String HEARTBEAT = "/hello";

  /** Commands that are sent straight to a worker. */
  public static final String COMMANDS = "/orders";

  /** Asks a worker for its heartbeat without a command. */
  public static final String INSPECT = "/inspect";

  /** Whether a controller takes requests. */
  public static final String HEALTH = "/up";

  /** Takes submissions; followed by a job's id, the path of that job. */
  public static final String SUBMISSIONS = "/submissions";

  /** Follows a job's path and cancels the job. */
  public static final String CANCEL_SUFFIX = "/abort";

  /** Machine types and their prices. */
  public static final String MACHINE_TYPES = "/catalog";

  /** Lists the cloud's machines, and rents them. */
  public static final String MACHINES = "/hosts";

  /** Returns machines to the cloud. */
  public static final String RETURN_MACHINES = "/hosts/return";

  private ProtocolPath() {}
}
