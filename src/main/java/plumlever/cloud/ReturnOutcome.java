package plumlever.cloud;

/** What became of a request to return machines. */
public enum ReturnOutcome {
  /** The machines are surely gone. */
  RETURNED,
  /** Nothing is known of the machines: the request is to be repeated. */
  UNKNOWN
}
