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

/**
 * A follower's right to renew leases for a leader that can't reach the workers of some zones,
 * although both reach the state service. The leader's delegation is a key on its lease, dropped by
 * whoever is elected next. It counts here for a short time from when a read that showed it was
 * <em>sent</em>; the leader waits that long, and a lease, before it takes a machine of these zones
 * for lapsed (see {@code MachineManager.lapsesAt}), and that long before it sends a command there.
 *
 * <p>Used on the controller's own loop only.
 */
public final class DelegatedRenewal {
  /** How long a read of the delegation is good for. */
  public static final long VALID_MICROS = 2_000_000;

  /** How often the delegation is read while there is one. */
  private static final long READ_MICROS = 600_000;

  /**
   * The right in one zone.
   *
   * @param token that renewals carry
   * @param validUntilMicros until when the read that it rests on is good
   */
  public record Right(long token, long validUntilMicros) {}

  /** The delegation that gives no right. */
  private static final DelegationRecord NO_DELEGATION = new DelegationRecord(-1, Map.of());

  private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

  private final Logger log;
  private final Loop loop;
  private final StateClient store;
  private final LeaderElection election;
  private DelegationRecord delegation = NO_DELEGATION;

  /** Of the newest delegation that was read. */
  private long revision = RenewalAnnouncement.NONE;

  /** When the last read that showed a delegation was sent. */
  private long readSentMicros = NEVER_MICROS;

  /** Of the delegation under which a renewal was last announced. */
  private long announcedRevision = RenewalAnnouncement.NONE;

  /** Reads the leader's delegation by this client. */
  public DelegatedRenewal(Loop loop, StateClient store, LeaderElection election, Logs logs) {
    this.log = logs.of(DelegatedRenewal.class);
    this.loop = loop;
    this.store = store;
    this.election = election;
  }

  /** Reads the delegation over and over while there is one. */
  public RecurringTask refreshTask() {
    return new RecurringTask("delegated renewal", loop, this::refresh);
  }

  private long refresh() {
    if (!election.delegationSeen() || election.leading()) {
      return READ_MICROS;
    }
    long sent = loop.nowMicros();
    store.get(
        LeaderElection.DELEGATION,
        StateClient.RequestPriority.URGENT,
        result -> {
          if (result.found()) {
            accept(DelegationRecord.read(result.item().data()), result.item().revision(), sent);
          } else if (result.missing()) {
            // Only an answer that says so ends it before its time.
            delegation = NO_DELEGATION;
          }
        });
    return READ_MICROS;
  }

  private void accept(DelegationRecord read, long readRevision, long sentMicros) {
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
   * A lease was renewed: the leader is told once for each delegation that somebody can reach its
   * workers, or it would take the delegation back.
   */
  public void announceRenewal() {
    if (announcedRevision == revision) {
      return;
    }
    long used = revision;
    announcedRevision = used;
    store.transaction(
        new Transaction()
            .put(LeaderElection.RENEWAL_ANNOUNCEMENT, new RenewalAnnouncement(used).write()),
        StateClient.RequestPriority.URGENT,
        result -> {
          if (!result.applied() && announcedRevision == used) {
            announcedRevision = RenewalAnnouncement.NONE;
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
