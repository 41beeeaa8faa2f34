package plumlever.cloud;

/** The outcome of a request to return machines. */
public enum ReturnOutcome {
  /** The machines have been returned. */
  RETURNED,
  /** The state of the machines is not known. The caller has to repeat the request. */
  UNKNOWN
}
