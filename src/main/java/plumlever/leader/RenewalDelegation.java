package plumlever.leader;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import plumlever.election.LeaderElection;
import plumlever.store.StateClient;
import plumlever.store.Txn;
import plumlever.wire.Json;

/**
 * Lets the other controllers renew leases in zones that this leader can't reach, for as long as it
 * can't. From when the mandate is sent until it has surely been dropped and the last read of it has
 * run out, no lease there lapses by time.
 */
final class RenewalDelegation {

  /**
   * Workers try one controller after the other; by then some have come to one that reaches them.
   */
  private static final long PATIENCE_MICROS = 9_000_000;

  private static final long BARRED_MICROS = 90_000_000;

  private final Logger log;
  private final Context context;

  /** Zones others may be renewing leases in. */
  private final Set<String> given = new HashSet<>();

  private final Map<String, Long> endedMicros = new HashMap<>();

  /** Revision of the record, 0 if there is none as after an election, -1 when that is not known. */
  private long stamp;

  private final Map<String, Long> barredUntil = new HashMap<>();
  private long givenMicros;
  private boolean writing;

  RenewalDelegation(Context context) {
    this.context = context;
    this.log = context.logs().of(RenewalDelegation.class);
  }

  boolean covers(String site) {
    return given.contains(site);
  }

  /** When the mandate for the zone was surely gone from the state service, or far in the past. */
  long endedMicros(String site) {
    return endedMicros.getOrDefault(site, Long.MIN_VALUE / 4);
  }

  /** One look: these zones can't be reached now. */
  void want(Set<String> unreached) {
    long now = context.loop().nowMicros();
    Set<String> sites = new HashSet<>(unreached);
    barredUntil.values().removeIf(until -> until < now);
    sites.removeAll(barredUntil.keySet());
    if (!given.isEmpty()
        && !writing
        && now - givenMicros > PATIENCE_MICROS
        && context.election().standInFor() != stamp) {
      // Nobody else reaches these workers either: their leases lapse, and it must be seen when they
      // have.
      given.forEach(s -> barredUntil.put(s, now + BARRED_MICROS));
      sites.clear();
    }
    if (writing
        || sites.equals(given)
        || context.platform().seeds().isEmpty()
        || context.sharing().isPresent()) {
      return;
    }
    // A zone that is wanted no more stays covered until the whole mandate has ended: others may not
    // have read it yet.
    if (sites.isEmpty() || stamp < 0) {
      end();
    } else if (!given.containsAll(sites)) {
      give(sites);
    }
  }

  private void give(Set<String> sites) {
    Set<String> before = new HashSet<>(given);
    givenMicros = context.loop().nowMicros();
    given.addAll(sites);
    log.info("leases in {} may be renewed by the other controllers", given);
    write(
        context.term().guard().guard(LeaderElection.MANDATE, stamp),
        given,
        result -> {
          switch (result.outcome()) {
            case APPLIED -> stamp = result.epoch();
            // Surely not given, nor later, since what it was guarded by has moved on.
            case CONFLICT -> {
              given.retainAll(before);
              stamp = -1;
            }
            case REFUSED -> given.retainAll(before);
            case UNKNOWN -> stamp = -1;
          }
        });
  }

  /**
   * Written empty, not dropped, and whatever was there: with that its revision moves on, and a
   * mandate whose answer was not heard can't be carried out any more.
   */
  private void end() {
    write(
        context.term().guard(),
        Set.of(),
        result -> {
          if (result.applied()) {
            stamp = result.epoch();
            long now = context.loop().nowMicros();
            given.forEach(s -> endedMicros.put(s, now));
            if (!given.isEmpty()) {
              log.info("leases in {} are renewed here again", given);
            }
            given.clear();
          }
        });
  }

  private void write(Txn txn, Set<String> sites, Consumer<Txn.Result> then) {
    writing = true;
    ObjectNode object = Json.object().put("term", context.term().number());
    ArrayNode array = object.putArray("sites");
    sites.forEach(array::add);
    context
        .store()
        .txn(
            txn.put(LeaderElection.MANDATE, object, context.term().permit()),
            StateClient.Class.URGENT,
            result -> {
              writing = false;
              then.accept(result);
            });
  }
}
