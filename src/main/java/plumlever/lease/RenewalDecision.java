package plumlever.lease;

/** Whether a heartbeat is answered with a renewal of its worker's lease. */
public sealed interface RenewalDecision {

  /**
   * The lease is renewed by this answer.
   *
   * @param body the answer to the heartbeat
   */
  record Renewed(String body) implements RenewalDecision {}

  /** The lease is not renewed. */
  record Refused(RenewalRefusal refusal) implements RenewalDecision {}
}
