package plumlever.lease;

import java.util.Optional;
import plumlever.fleet.Fleet;

/**
 * The evidence of a controller that renews leases for the leader.
 *
 * @param token the delegation's token, chosen by the leader above all that it has sent to the zone
 *     and will send there while the delegation lasts: the answer voids whatever is on its way
 * @param reportedToken the highest token that the machine has seen
 * @param validUntilMicros until when the last read of the delegation is good
 * @param endsKnownMicros when the oldest read of the jobs of the machine's tasks had been sent
 */
public record DelegateEvidence(
    long token, long reportedToken, long validUntilMicros, long endsKnownMicros)
    implements RenewalEvidence {

  @Override
  public Optional<RenewalRefusal> refusal(RenewalLimit limit, long nowMicros) {
    if (nowMicros >= validUntilMicros) {
      return Optional.of(RenewalRefusal.DELEGATION_OVER);
    }
    if (Fleet.termOf(reportedToken) != Fleet.termOf(token)) {
      return Optional.of(RenewalRefusal.OTHER_TERM);
    }
    if (reportedToken > token) {
      return Optional.of(RenewalRefusal.TOKEN_NOT_SUFFICIENT);
    }
    if (!limit.mayRenew(nowMicros, endsKnownMicros)) {
      return Optional.of(RenewalRefusal.ENDED_JOBS_UNKNOWN);
    }
    return Optional.empty();
  }
}
