package plumlever.cloud;

/** The outcome of a request to return machines. */
public enum ReturnOutcome {
  /** The machines have been returned. */
  RETURNED,
  /**
   * It is not known whether the machines have been returned. The caller has to repeat the request.
   */
  UNKNOWN
}
