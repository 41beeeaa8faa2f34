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
 * Delegates the renewal of leases to the other controllers, in zones that this leader can't reach
 * and as long as it can't. From when a delegation is sent until it is known to be revoked and the
 * last read of it has expired, no lease there counts as lapsed by time, and no direct command is
 * sent to a machine there.
 *
 * <p>Each zone is delegated with a token above all that this leader has sent there. Renewals carry
 * it, so they void starts that were not answered; and it stays above all commands, since none is
 * sent while a renewal can still carry it.
 */
public final class RenewalDelegation {

  /** Workers try one controller after the other; by then some have found one that reaches them. */
  private static final long ANNOUNCEMENT_TIMEOUT_MICROS = 9_000_000;

  private static final long INELIGIBILITY_MICROS = 90_000_000;

  /** The other controller's clock may be slower by twice the bound on drift. */
  private static final long READ_VALID_MICROS =
      DelegatedRenewal.VALID_MICROS + DelegatedRenewal.VALID_MICROS / 500;

  /** So that the record fits the smallest value, whatever the zones are called. */
  private static final int MAX_ZONES = 8;

  private static final long NO_RECORD = 0;
  private static final long UNKNOWN_REVISION = -1;
  private static final long LONG_AGO_MICROS = Long.MIN_VALUE / 4;

  private final Logger log;
  private final TermContext context;
  private final Fleet fleet;

  /** The last token that was delegated with each zone. */
  private final Map<String, Long> lastTokenByZone = new HashMap<>();

  /** Zones in which others may be renewing leases. */
  private final Set<String> delegatedZones = new HashSet<>();

  private final Map<String, Long> revokedMicros = new HashMap<>();

  /** Revision of the record; there is none after an election. */
  private long revision = NO_RECORD;

  private final Map<String, Long> ineligibleUntilMicros = new HashMap<>();
  private long delegatedMicros;
  private boolean writing;

  /** The delegations of one term: none at first. */
  public RenewalDelegation(TermContext context, Fleet fleet) {
    this.context = context;
    this.fleet = fleet;
    this.log = context.logs().of(RenewalDelegation.class);
  }

  /** True while others may be renewing leases in the zone. */
  public boolean isDelegated(String zone) {
    return delegatedZones.contains(zone);
  }

  /**
   * False while another controller may renew leases in the zone: a direct command could have the
   * same token as its renewals, and would not be voided by them.
   */
  public boolean mayCommand(String zone) {
    return !delegatedZones.contains(zone)
        && context.loop().nowMicros() >= revokedMicros(zone) + READ_VALID_MICROS;
  }

  /** When the delegation of the zone was known to be revoked; long ago if there was none. */
  public long revokedMicros(String zone) {
    return revokedMicros.getOrDefault(zone, LONG_AGO_MICROS);
  }

  /**
   * Delegates renewal in zones that can't be reached now, and revokes the delegation once none is
   * left. A zone that can be reached again stays delegated until the whole delegation has ended:
   * others may not have read its end yet.
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

  /** As many of the unreachable zones as one record holds, those delegated already first. */
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
   * True if no other controller has announced in time that it reaches these workers. Then their
   * leases lapse, which is only noticed in zones that are not delegated.
   */
  private boolean hasNoDelegate(long now) {
    return !delegatedZones.isEmpty()
        && !writing
        && now - delegatedMicros > ANNOUNCEMENT_TIMEOUT_MICROS
        && context.election().announcedDelegation() != revision;
  }

  private void delegate(Set<String> zones) {
    Set<String> previousZones = new HashSet<>(delegatedZones);
    delegatedMicros = context.loop().nowMicros();
    delegatedZones.addAll(zones);
    delegatedZones.stream()
        .filter(zone -> !previousZones.contains(zone))
        .forEach(zone -> lastTokenByZone.put(zone, sufficientToken(zone)));
    log.info(
        "leases in {} may be renewed by the other controllers, term {}, tokens {}",
        delegatedZones,
        context.term().number(),
        lastTokenByZone);
    write(
        context.term().requireTerm().require(LeaderElection.DELEGATION, revision),
        delegatedZones,
        result -> {
          switch (result.outcome()) {
            case APPLIED -> revision = result.revision();
            // Not delegated, nor later, since what it was guarded by has moved on.
            case CONFLICT -> {
              delegatedZones.retainAll(previousZones);
              revision = UNKNOWN_REVISION;
            }
            case REFUSED -> delegatedZones.retainAll(previousZones);
            case UNKNOWN -> revision = UNKNOWN_REVISION;
          }
        });
  }

  /** Above the tokens of all commands sent to the zone, and of all earlier delegations of it. */
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
   * Writes the record empty, whatever was there, instead of dropping it: its revision moves on, so
   * a delegation whose answer was lost can't be executed any more.
   */
  private void revoke() {
    write(
        context.term().requireTerm(),
        Set.of(),
        result -> {
          if (result.applied()) {
            revision = result.revision();
            revoked();
          }
        });
  }

  private void revoked() {
    long now = context.loop().nowMicros();
    delegatedZones.forEach(zone -> revokedMicros.put(zone, now));
    if (!delegatedZones.isEmpty()) {
      log.info("leases in {} are renewed only by this leader again", delegatedZones);
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
