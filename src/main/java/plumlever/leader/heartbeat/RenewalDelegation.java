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
import plumlever.leader.context.Context;
import plumlever.lease.DelegationRecord;
import plumlever.store.StateClient;
import plumlever.store.Transaction;

/**
 * Lets the other controllers renew leases in zones that this leader can't reach, for as long as it
 * can't. From when the delegation is sent until it has surely been taken back and the last read of
 * it has run out, no lease there lapses by time, and nothing is sent straight to a machine there.
 *
 * <p>With each zone goes a token above all that this leader has sent there. Renewals carry it, so
 * they void the starts that have had no answer; and it stays above all commands, since none is sent
 * while a renewal can still carry it.
 */
public final class RenewalDelegation {

  /**
   * Workers try one controller after the other; by then some have come to one that reaches them.
   */
  private static final long PATIENCE_MICROS = 9_000_000;

  private static final long INELIGIBLE_MICROS = 90_000_000;

  /** The other controller's clock may be slower by twice the bound on drift. */
  private static final long READ_LASTS_MICROS =
      DelegatedRenewal.VALID_MICROS + DelegatedRenewal.VALID_MICROS / 500;

  /** So that the record fits the smallest value, whatever the zones are called. */
  private static final int MOST_ZONES = 8;

  private final Logger log;
  private final Context context;
  private final Fleet fleet;

  /** The last token that went with each zone. */
  private final Map<String, Long> tokens = new HashMap<>();

  /** Zones others may be renewing leases in. */
  private final Set<String> given = new HashSet<>();

  private final Map<String, Long> endedMicros = new HashMap<>();

  /** Revision of the record, 0 if there is none as after an election, -1 when that is not known. */
  private long revision;

  private final Map<String, Long> ineligibleUntil = new HashMap<>();
  private long givenMicros;
  private boolean writing;

  /** The delegations of one term: none at first. */
  public RenewalDelegation(Context context, Fleet fleet) {
    this.context = context;
    this.fleet = fleet;
    this.log = context.logs().of(RenewalDelegation.class);
  }

  public boolean covers(String zone) {
    return given.contains(zone);
  }

  /**
   * False while another controller may renew leases in the zone: what is sent there now could have
   * the very token that its renewals carry, and would not be voided by them.
   */
  public boolean mayCommand(String zone) {
    return !given.contains(zone)
        && context.loop().nowMicros() >= endedMicros(zone) + READ_LASTS_MICROS;
  }

  /** When the delegation of the zone was surely gone from the state service, or long ago. */
  public long endedMicros(String zone) {
    return endedMicros.getOrDefault(zone, Long.MIN_VALUE / 4);
  }

  /** One look: these zones can't be reached now. */
  public void want(Set<String> unreached) {
    long now = context.loop().nowMicros();
    Set<String> zones = new HashSet<>(unreached);
    ineligibleUntil.values().removeIf(until -> until < now);
    zones.removeAll(ineligibleUntil.keySet());
    List<String> inOrder = new ArrayList<>(zones);
    inOrder.sort(
        Comparator.comparing((String zone) -> !given.contains(zone)).thenComparing(s -> s));
    inOrder.stream().skip(MOST_ZONES).forEach(zones::remove);
    if (!given.isEmpty()
        && !writing
        && now - givenMicros > PATIENCE_MICROS
        && context.election().announcedDelegation() != revision) {
      // Nobody else reaches these workers either: their leases lapse, and it must be seen when they
      // have.
      given.forEach(s -> ineligibleUntil.put(s, now + INELIGIBLE_MICROS));
      zones.clear();
    }
    if (writing
        || zones.equals(given)
        || context.platform().peers().isEmpty()
        || context.sharing().isPresent()) {
      return;
    }
    // A zone that is wanted no more stays covered until the whole delegation has ended: others may
    // not have read it yet.
    if (zones.isEmpty() || revision < 0) {
      end();
    } else if (!given.containsAll(zones)) {
      give(zones);
    }
  }

  private void give(Set<String> zones) {
    Set<String> before = new HashSet<>(given);
    givenMicros = context.loop().nowMicros();
    given.addAll(zones);
    given.stream()
        .filter(zone -> !before.contains(zone))
        .forEach(zone -> tokens.put(zone, sufficientToken(zone)));
    log.info(
        "leases in {} may be renewed by the other controllers, term {}, tokens {}",
        given,
        context.term().number(),
        tokens);
    write(
        context.term().requireTerm().require(LeaderElection.DELEGATION, revision),
        given,
        result -> {
          switch (result.outcome()) {
            case APPLIED -> revision = result.revision();
            // Surely not given, nor later, since what it was guarded by has moved on.
            case CONFLICT -> {
              given.retainAll(before);
              revision = -1;
            }
            case REFUSED -> given.retainAll(before);
            case UNKNOWN -> revision = -1;
          }
        });
  }

  /** Above the tokens of all commands sent to the zone, and of all earlier delegations of it. */
  private long sufficientToken(String zone) {
    long highest = tokens.getOrDefault(zone, Fleet.firstToken(context.term().number()));
    for (Machine machine : fleet.machines()) {
      if (machine.zone().equals(zone)) {
        highest = Math.max(highest, machine.tokens().current());
      }
    }
    return highest + 1;
  }

  /**
   * Written empty, not dropped, and whatever was there: with that its revision moves on, and a
   * delegation whose answer was not heard can't be carried out any more.
   */
  private void end() {
    write(
        context.term().requireTerm(),
        Set.of(),
        result -> {
          if (result.applied()) {
            revision = result.revision();
            long now = context.loop().nowMicros();
            given.forEach(s -> endedMicros.put(s, now));
            if (!given.isEmpty()) {
              log.info("leases in {} are renewed here again", given);
            }
            given.clear();
          }
        });
  }

  private void write(
      Transaction transaction, Set<String> zones, Consumer<Transaction.Result> then) {
    writing = true;
    Map<String, Long> tokenByZone = new HashMap<>(tokens);
    tokenByZone.keySet().retainAll(zones);
    DelegationRecord record = new DelegationRecord(context.term().number(), tokenByZone);
    context
        .store()
        .transaction(
            transaction.put(LeaderElection.DELEGATION, record.write(), context.term().leaseId()),
            StateClient.RequestPriority.URGENT,
            result -> {
              writing = false;
              then.accept(result);
            });
  }
}
