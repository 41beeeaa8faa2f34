package plumlever.lease;

import java.util.Optional;

/** What a renewal rests on: each kind of controller that renews leases has its own. */
public sealed interface RenewalEvidence permits LeaderEvidence, DelegateEvidence {

  /** The token that the answer carries: with it, commands with lower ones are void. */
  long token();

  /** Why the lease must not be renewed now, if it must not. */
  Optional<RenewalRefusal> refusal(RenewalLimit limit, long nowMicros);
}
