package plumlever.lease;

import java.util.Optional;

/**
 * What justifies a renewal: the leader has one kind, a controller that renews leases for it
 * another.
 */
public sealed interface RenewalEvidence permits LeaderEvidence, DelegateEvidence {

  /** The token that the answer carries: with it, commands with lower ones are void. */
  long token();

  /**
   * Why the lease must not be renewed now, if it must not.
   *
   * @param nowMicros by the clock that the evidence is told in
   */
  Optional<RenewalRefusal> refusal(RenewalLimit limit, long nowMicros);
}
