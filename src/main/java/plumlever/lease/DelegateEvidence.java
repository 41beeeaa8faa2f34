package plumlever.lease;

import java.util.Optional;
import plumlever.fleet.Fleet;

/**
 * What a controller that renews leases on behalf of the leader knows when it decides whether to
 * renew a machine's lease.
 *
 * @param token the delegation's token; the leader chose it higher than every token that it has sent
 *     or will send to the zone before the delegation ends, so a machine that has seen it executes
 *     none of the commands in flight
 * @param reportedToken the highest token that the machine has seen, according to its heartbeat or
 *     to its response to a direct call
 * @param validUntilMicros time at which the last read of the delegation expires
 * @param endedJobsReadMicros time at which the request was sent for the oldest of the reads that
 *     show whether the jobs of the machine's tasks have ended
 */
public record DelegateEvidence(
    long token, long reportedToken, long validUntilMicros, long endedJobsReadMicros)
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
    if (reportedToken < token) {
      // A command that the leader sent before it chose the token may be executed before the
      // response
      // arrives, and the response would prolong a task that it does not stop.
      return Optional.of(RenewalRefusal.UNANSWERED_COMMAND);
    }
    if (!limit.mayRenew(nowMicros, endedJobsReadMicros)) {
      return Optional.of(RenewalRefusal.ENDED_JOBS_UNKNOWN);
    }
    return Optional.empty();
  }
}
