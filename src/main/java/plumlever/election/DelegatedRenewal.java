package plumlever.election;

import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.concurrent.Loop;
import plumlever.concurrent.RecurringTask;
import plumlever.fleet.Fleet;
import plumlever.metrics.Logs;
import plumlever.store.StateClient;
import plumlever.store.Txn;
import plumlever.wire.Json;

/**
 * A follower's right to renew leases for a leader that can't reach the workers of some zones,
 * although both reach the state service. The leader's mandate is a key on its grant, dropped by
 * whoever takes the office next. It counts here for a short time from when a read that showed it
 * was <em>sent</em>; the leader waits that long, and a lease, before it takes a machine of these
 * zones for lapsed (see {@code MachineManager.lapsesAt}). Nothing but halts of ended jobs is
 * ordered by a stand-in.
 */
public final class DelegatedRenewal {
  /** How long a read of the mandate is good for. */
  public static final long VALID_MICROS = 2_000_000;

  private static final long READ_MICROS = 600_000;

  private final Logger log;
  private final Loop loop;
  private final StateClient store;
  private final LeaderElection election;
  private long readSentMicros = Long.MIN_VALUE / 2;
  private long term = -1;
  private long stamp = -1;
  private long announced = -1;
  private Set<String> sites = Set.of();

  /** Reads the leader's delegation by this client. */
  public DelegatedRenewal(Loop loop, StateClient store, LeaderElection election, Logs logs) {
    this.log = logs.of(DelegatedRenewal.class);
    this.loop = loop;
    this.store = store;
    this.election = election;
  }

  public RecurringTask duty() {
    return new RecurringTask("stand-in", loop, this::read);
  }

  private long read() {
    if (!election.mandateSeen() || election.leading()) {
      return READ_MICROS;
    }
    long sent = loop.nowMicros();
    store.get(
        LeaderElection.MANDATE,
        StateClient.Class.URGENT,
        got -> {
          if (!got.found()) {
            // Only an answer that says so ends it before its time.
            if (got.missing()) {
              sites = Set.of();
            }
            return;
          }
          Set<String> now = new HashSet<>();
          got.item().data().path("sites").forEach(s -> now.add(s.asText()));
          if (!now.equals(sites)) {
            log.info("standing in for the leader, leases are renewed in {}", now);
          }
          sites = now;
          stamp = got.item().stamp();
          term = got.item().data().path("term").asLong(-1);
          readSentMicros = Math.max(readSentMicros, sent);
        });
    return READ_MICROS;
  }

  /**
   * A lease was renewed: the leader is told once that somebody can reach its workers, or it would
   * give the mandate up.
   */
  public void renewed() {
    if (announced == stamp) {
      return;
    }
    long now = stamp;
    announced = now;
    store.txn(
        new Txn().put(LeaderElection.STAND_IN, Json.object().put("mandate", now)),
        StateClient.Class.URGENT,
        result -> {
          if (!result.applied() && announced == now) {
            announced = -1;
          }
        });
  }

  /** Asked again right before each answer. */
  public boolean mayRenew(String site, long token) {
    return loop.nowMicros() - readSentMicros < VALID_MICROS
        && sites.contains(site)
        && Fleet.termOf(token) == term
        && !election.leading();
  }
}
