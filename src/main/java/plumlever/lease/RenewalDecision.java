package plumlever.lease;

/** The decision whether the response to a heartbeat renews the worker's lease. */
public sealed interface RenewalDecision {

  /**
   * The lease is renewed.
   *
   * @param body the body of the response that renews the lease
   */
  record Renewed(String body) implements RenewalDecision {}

  /**
   * The lease is not renewed.
   *
   * @param refusal the reason
   */
  record Refused(RenewalRefusal refusal) implements RenewalDecision {}
}
