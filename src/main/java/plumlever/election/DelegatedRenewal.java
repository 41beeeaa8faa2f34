package plumlever.election;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.slf4j.Logger;
import plumlever.concurrent.Loop;
import plumlever.concurrent.RecurringTask;
import plumlever.lease.DelegationRecord;
import plumlever.metrics.Logs;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.Json;

/**
 * A follower's right to renew leases for a leader that can't reach the workers of some zones,
 * although both reach the state service. The leader's delegation is a key on its lease, dropped by
 * whoever is elected next. It counts here for a short time from when a read that showed it was
 * <em>sent</em>; the leader waits that long, and a lease, before it takes a machine of these zones
 * for lapsed (see {@code MachineManager.lapsesAt}), and that long before it sends a command there.
 */
public final class DelegatedRenewal {
  /** How long a read of the delegation is good for. */
  public static final long VALID_MICROS = 2_000_000;

  private static final long READ_MICROS = 600_000;

  /**
   * The right in one zone.
   *
   * @param token that renewals carry
   * @param validUntilMicros until when the read that it rests on is good
   */
  public record Right(long token, long validUntilMicros) {}

  private final Logger log;
  private final Loop loop;
  private final StateClient store;
  private final LeaderElection election;
  private long readSentMicros = Long.MIN_VALUE / 2;
  private long revision = -1;
  private long announced = -1;
  private DelegationRecord delegation = new DelegationRecord(-1, Map.of());

  /** Reads the leader's delegation by this client. */
  public DelegatedRenewal(Loop loop, StateClient store, LeaderElection election, Logs logs) {
    this.log = logs.of(DelegatedRenewal.class);
    this.loop = loop;
    this.store = store;
    this.election = election;
  }

  /** Reads the delegation again and again while there is one. */
  public RecurringTask refreshTask() {
    return new RecurringTask("delegated renewal", loop, this::read);
  }

  private long read() {
    if (!election.delegationSeen() || election.leading()) {
      return READ_MICROS;
    }
    long sent = loop.nowMicros();
    store.get(
        LeaderElection.DELEGATION,
        StateClient.RequestPriority.URGENT,
        got -> {
          if (got.found()) {
            take(DelegationRecord.read(got.item().data()), got.item().revision(), sent);
          } else if (got.missing()) {
            // Only an answer that says so ends it before its time.
            delegation = new DelegationRecord(-1, Map.of());
          }
        });
    return READ_MICROS;
  }

  private void take(DelegationRecord read, long readRevision, long sentMicros) {
    if (readRevision < revision) {
      // Answers may overtake each other; an older record may name tokens that are not sufficient
      // any more.
      return;
    }
    if (!read.equals(delegation)) {
      log.info(
          "leases are renewed for the leader of term {}, zones and tokens {} (revision {}, read {}"
              + " ms ago)",
          read.term(),
          read.tokenByZone(),
          readRevision,
          (loop.nowMicros() - sentMicros) / 1_000);
    }
    delegation = read;
    revision = readRevision;
    readSentMicros = Math.max(readSentMicros, sentMicros);
  }

  /**
   * A lease was renewed: the leader is told once that somebody can reach its workers, or it would
   * take the delegation back.
   */
  public void announceRenewal() {
    if (announced == revision) {
      return;
    }
    long now = revision;
    announced = now;
    store.transaction(
        new Transaction()
            .put(LeaderElection.RENEWAL_ANNOUNCEMENT, Json.object().put("mandate", now)),
        StateClient.RequestPriority.URGENT,
        result -> {
          if (!result.applied() && announced == now) {
            announced = -1;
          }
        });
  }

  /** The right to renew leases in the zone, if there is one; asked again right before each use. */
  public Optional<Right> rightIn(String zone) {
    long validUntil = readSentMicros + VALID_MICROS;
    OptionalLong token = delegation.tokenOf(zone);
    if (token.isEmpty() || election.leading() || loop.nowMicros() >= validUntil) {
      return Optional.empty();
    }
    return Optional.of(new Right(token.getAsLong(), validUntil));
  }
}
