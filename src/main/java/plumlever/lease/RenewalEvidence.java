package plumlever.lease;

import java.util.Optional;

/**
 * The evidence that justifies a lease renewal. The leader provides one kind of evidence, a
 * controller that renews leases on behalf of the leader another.
 */
public sealed interface RenewalEvidence permits LeaderEvidence, DelegateEvidence {

  /** Returns the token of the response. The token invalidates all commands with lower tokens. */
  long token();

  /**
   * Returns why the lease must not be renewed now, or empty if the lease may be renewed.
   *
   * @param nowMicros the present time, on the same clock as the times of the evidence
   */
  Optional<RenewalRefusal> refusal(RenewalLimit limit, long nowMicros);
}
