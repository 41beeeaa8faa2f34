package plumlever.lease;

import java.util.Optional;

/**
 * What a controller knows about a machine's tasks and about ended jobs when it decides whether to
 * renew the machine's lease. The leader provides one kind of evidence; a controller that renews
 * leases on behalf of the leader provides another.
 */
public sealed interface RenewalEvidence permits LeaderEvidence, DelegateEvidence {

  /**
   * Returns the fencing token that the response carries. It invalidates all commands with lower
   * tokens.
   */
  long token();

  /**
   * Returns why the lease must not be renewed now, or empty if the lease may be renewed.
   *
   * @param nowMicros the present time, on the same clock as the times of the evidence
   */
  Optional<RenewalRefusal> refusal(RenewalLimit limit, long nowMicros);
}
