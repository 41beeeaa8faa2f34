package plumlever.lease;

/** Whether a report is answered with a renewal of its worker's lease. */
public sealed interface RenewalDecision {

  /**
   * The lease is renewed by this answer.
   *
   * @param body the answer to the report
   */
  record Renewed(String body) implements RenewalDecision {}

  /** The lease is not renewed. */
  record Refused(RenewalRefusal refusal) implements RenewalDecision {}
}
