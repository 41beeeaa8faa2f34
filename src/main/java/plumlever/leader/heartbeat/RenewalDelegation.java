package plumlever.leader.heartbeat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import plumlever.election.DelegatedRenewal;
import plumlever.election.LeaderElection;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.lease.DelegationRecord;
import plumlever.store.StateClient;
import plumlever.store.Transaction;

/**
 * Delegates lease renewal in zones that this leader cannot reach to the other controllers, for as
 * long as it cannot reach the zones. A delegation may be in use from the time at which it is sent
 * until its revocation is confirmed and the last read of it has expired. During that period no
 * lease in the zone is considered expired by elapsed time, and no direct command (one sent in a
 * call to the worker) goes to a machine in the zone.
 *
 * <p>Each zone is delegated with a fencing token higher than every token that this leader has sent
 * to the zone. Renewals carry that token and thereby invalidate unanswered start commands. No
 * command is sent while a renewal can still carry the token, and therefore the token stays higher
 * than the tokens of all commands.
 */
public final class RenewalDelegation {

  /**
   * How long the leader waits for a controller to announce that it renews leases under the
   * delegation. Workers try the controllers one after the other; within 9 s some workers have found
   * a controller that reaches them.
   */
  private static final long ANNOUNCEMENT_TIMEOUT_MICROS = 9_000_000;

  /**
   * Time for which the renewal of leases in a zone is not delegated again after no controller has
   * renewed leases there.
   */
  private static final long INELIGIBILITY_MICROS = 90_000_000;

  /**
   * How long another controller may use a read of the delegation, measured on this controller's
   * clock. The other controller's clock may be slower. 1/500 is twice the drift that is possible
   * between two clocks (see {@link plumlever.lease.ClockDrift}).
   */
  private static final long READ_VALID_MICROS =
      DelegatedRenewal.VALID_MICROS + DelegatedRenewal.VALID_MICROS / 500;

  /**
   * Maximum number of zones in the delegation record. With this many zones, the record fits the
   * smallest limit on stored values, however long the zone names are.
   */
  private static final int MAX_ZONES = 8;

  private static final long NO_RECORD = 0;
  private static final long UNKNOWN_REVISION = -1;
  private static final long DISTANT_PAST_MICROS = Long.MIN_VALUE / 4;

  private final Logger log;
  private final TermContext context;
  private final Fleet fleet;

  /** The fencing token of the latest delegation of lease renewal in each zone. */
  private final Map<String, Long> lastTokenByZone = new HashMap<>();

  /** Zones in which other controllers may be renewing leases. */
  private final Set<String> delegatedZones = new HashSet<>();

  /**
   * Time at which the revocation of each zone's latest delegation of lease renewal was confirmed.
   */
  private final Map<String, Long> revokedMicros = new HashMap<>();

  /** Revision of the stored record of delegated zones. After an election no such record exists. */
  private long revision = NO_RECORD;

  private final Map<String, Long> ineligibleUntilMicros = new HashMap<>();
  private long delegatedMicros;
  private boolean writing;

  /**
   * Creates the component that delegates lease renewal during one term; no zone is delegated at
   * first.
   */
  public RenewalDelegation(TermContext context, Fleet fleet) {
    this.context = context;
    this.fleet = fleet;
    this.log = context.loggerProvider().of(RenewalDelegation.class);
  }

  /** Returns whether other controllers may be renewing leases in the zone. */
  public boolean isDelegated(String zone) {
    return delegatedZones.contains(zone);
  }

  /**
   * Returns whether direct commands (those sent in a call to the worker) may go to machines in the
   * zone. None is sent while another controller may renew leases there: a command could carry the
   * same token as the renewals, and the renewals would then not invalidate the command.
   */
  public boolean mayCommand(String zone) {
    return !delegatedZones.contains(zone)
        && context.loop().nowMicros() >= revokedMicros(zone) + READ_VALID_MICROS;
  }

  /**
   * Returns the time at which the revocation of the zone's latest delegation was confirmed, or a
   * time in the distant past if there was none.
   */
  public long revokedMicros(String zone) {
    return revokedMicros.getOrDefault(zone, DISTANT_PAST_MICROS);
  }

  /**
   * Delegates lease renewal to other controllers in the zones that are unreachable now, and revokes
   * the delegation once no zone is left to delegate. A zone that becomes reachable stays delegated
   * until the whole delegation is revoked, because other controllers may not yet have read the end
   * of the zone's delegation.
   */
  public void updateUnreachableZones(Set<String> unreachableZones) {
    Set<String> zones = zonesToDelegate(unreachableZones);
    if (writing
        || zones.equals(delegatedZones)
        || context.platform().peers().isEmpty()
        || context.sharing().isPresent()) {
      return;
    }
    if (zones.isEmpty() || revision == UNKNOWN_REVISION) {
      revoke();
    } else if (!delegatedZones.containsAll(zones)) {
      delegate(zones);
    }
  }

  /**
   * Selects the zones in which other controllers are to renew leases: as many unreachable zones as
   * fit into one record, preferring zones that are already delegated. If no other controller has
   * used the present delegation, selects no zone, and excludes the delegated zones from delegation
   * for {@link #INELIGIBILITY_MICROS}.
   */
  private Set<String> zonesToDelegate(Set<String> unreachableZones) {
    long now = context.loop().nowMicros();
    Set<String> zones = new HashSet<>(unreachableZones);
    ineligibleUntilMicros.values().removeIf(until -> until < now);
    zones.removeAll(ineligibleUntilMicros.keySet());
    List<String> byPreference = new ArrayList<>(zones);
    byPreference.sort(
        Comparator.comparing((String zone) -> !delegatedZones.contains(zone))
            .thenComparing(Comparator.naturalOrder()));
    byPreference.stream().skip(MAX_ZONES).forEach(zones::remove);
    if (hasNoDelegate(now)) {
      delegatedZones.forEach(zone -> ineligibleUntilMicros.put(zone, now + INELIGIBILITY_MICROS));
      zones.clear();
    }
    return zones;
  }

  /**
   * Returns whether no other controller has announced within {@link #ANNOUNCEMENT_TIMEOUT_MICROS}
   * that it renews leases in the delegated zones. The delegation then has to end: the leases there
   * expire, and this leader detects the expiry only in zones that are not delegated.
   */
  private boolean hasNoDelegate(long now) {
    return !delegatedZones.isEmpty()
        && !writing
        && now - delegatedMicros > ANNOUNCEMENT_TIMEOUT_MICROS
        && context.election().announcedDelegationRevision() != revision;
  }

  private void delegate(Set<String> zones) {
    Set<String> previousZones = new HashSet<>(delegatedZones);
    delegatedMicros = context.loop().nowMicros();
    delegatedZones.addAll(zones);
    delegatedZones.stream()
        .filter(zone -> !previousZones.contains(zone))
        .forEach(zone -> lastTokenByZone.put(zone, sufficientToken(zone)));
    log.info(
        "delegating lease renewal in zones {} to the other controllers, term {}, tokens {}",
        delegatedZones,
        context.term().number(),
        lastTokenByZone);
    write(
        context.term().requireTerm().require(LeaderElection.DELEGATION, revision),
        delegatedZones,
        result -> {
          switch (result.outcome()) {
            case APPLIED -> revision = result.revision();
            // The transaction was not applied and cannot be applied later, because a key that it
            // requires to be unchanged has changed. So the zones that it was to add are not
            // delegated.
            case CONFLICT -> {
              delegatedZones.retainAll(previousZones);
              revision = UNKNOWN_REVISION;
            }
            case REFUSED -> delegatedZones.retainAll(previousZones);
            case UNKNOWN -> revision = UNKNOWN_REVISION;
          }
        });
  }

  /**
   * Returns a token higher than the tokens of all commands sent to the zone and of all earlier
   * delegations of the zone.
   */
  private long sufficientToken(String zone) {
    long highest = lastTokenByZone.getOrDefault(zone, Fleet.firstToken(context.term().number()));
    for (Machine machine : fleet.machines()) {
      if (machine.zone().equals(zone)) {
        highest = Math.max(highest, machine.tokens().current());
      }
    }
    return highest + 1;
  }

  /**
   * Revokes the delegation of lease renewal: overwrites its record with an empty one, whatever its
   * revision, instead of deleting it. The write raises the record's revision, so that an unanswered
   * write of a delegation can no longer be applied.
   */
  private void revoke() {
    write(
        context.term().requireTerm(),
        Set.of(),
        result -> {
          if (result.applied()) {
            revision = result.revision();
            recordRevocation();
          }
        });
  }

  private void recordRevocation() {
    long now = context.loop().nowMicros();
    delegatedZones.forEach(zone -> revokedMicros.put(zone, now));
    if (!delegatedZones.isEmpty()) {
      log.info(
          "revoked the delegation of lease renewal in zones {}: only this leader renews leases"
              + " there",
          delegatedZones);
    }
    delegatedZones.clear();
  }

  private void write(
      Transaction transaction, Set<String> zones, Consumer<Transaction.Result> onResult) {
    writing = true;
    Map<String, Long> tokenByZone = new HashMap<>(lastTokenByZone);
    tokenByZone.keySet().retainAll(zones);
    DelegationRecord record = new DelegationRecord(context.term().number(), tokenByZone);
    context
        .store()
        .transaction(
            transaction.put(LeaderElection.DELEGATION, record.write(), context.term().leaseId()),
            StateClient.RequestPriority.URGENT,
            result -> {
              writing = false;
              onResult.accept(result);
            });
  }
}
