package plumlever.election;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.slf4j.Logger;
import plumlever.concurrent.EventLoop;
import plumlever.concurrent.RecurringTask;
import plumlever.lease.DelegationRecord;
import plumlever.metrics.LoggerProvider;
import plumlever.store.StateClient;
import plumlever.store.Transaction;

/**
 * Lets a follower (a controller that does not lead) renew the leases of workers for the leader if
 * the leader cannot reach the workers of some zones. Both controllers must reach the state service.
 *
 * <p>The leader gives this right by storing a delegation record. Its key is attached to the
 * leader's own lease and is deleted by the next election. A follower may use the delegation for
 * {@link #VALID_MICROS} after it <em>sent</em> the read that returned it. The leader waits for that
 * time plus the duration of a worker's lease before it treats the lease of a machine in these zones
 * as expired (see {@code LeaseExpiry}). It also waits for that time before it sends a command to
 * such a machine.
 *
 * <p>Used on the controller loop only.
 */
public final class DelegatedRenewal {
  /**
   * The time for which a follower may renew leases under a delegation, counted from the sending of
   * the read that returned the delegation.
   */
  public static final long VALID_MICROS = 2_000_000;

  /** The interval at which a follower reads the delegation record while the record exists. */
  private static final long READ_INTERVAL_MICROS = 600_000;

  /**
   * The right of a follower to renew the leases of the workers in one zone.
   *
   * @param token the fencing token that renewals carry
   * @param validUntilMicros the time at which the right expires unless the delegation is read again
   */
  public record RenewalRight(long token, long validUntilMicros) {}

  /** The value used while no delegation record exists: it covers no zone. */
  private static final DelegationRecord NO_DELEGATION = new DelegationRecord(-1, Map.of());

  private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

  private final Logger log;
  private final EventLoop loop;
  private final StateClient store;
  private final LeaderElection election;
  private DelegationRecord delegation = NO_DELEGATION;

  /** The revision of the newest delegation record that was read. */
  private long revision = RenewalAnnouncement.NONE;

  /**
   * The send time of the last read that returned a delegation record; the right to renew leases is
   * valid for {@link #VALID_MICROS} from then.
   */
  private long readSentMicros = NEVER_MICROS;

  /**
   * The revision of the delegation record under which this controller last announced to the leader
   * that it renews leases.
   */
  private long announcedRevision = RenewalAnnouncement.NONE;

  /**
   * Creates an instance that reads the delegation record of the leader through the given client.
   */
  public DelegatedRenewal(
      EventLoop loop, StateClient store, LeaderElection election, LoggerProvider loggerProvider) {
    this.log = loggerProvider.of(DelegatedRenewal.class);
    this.loop = loop;
    this.store = store;
    this.election = election;
  }

  /**
   * Returns the recurring task that reads the delegation record while the record exists and this
   * controller does not lead.
   */
  public RecurringTask refreshTask() {
    return new RecurringTask("delegation refresh", loop, this::refresh);
  }

  private long refresh() {
    if (!election.delegationExists() || election.leading()) {
      return READ_INTERVAL_MICROS;
    }
    long sent = loop.nowMicros();
    store.get(
        LeaderElection.DELEGATION,
        StateClient.RequestPriority.URGENT,
        result -> {
          if (result.found()) {
            accept(DelegationRecord.read(result.item().data()), result.item().revision(), sent);
          } else if (result.missing()) {
            // Status 404 means that the delegation record was deleted, so the right to renew leases
            // ends at once. After any other failed read, the right remains valid until it expires.
            delegation = NO_DELEGATION;
          }
        });
    return READ_INTERVAL_MICROS;
  }

  private void accept(DelegationRecord read, long readRevision, long sentMicros) {
    if (readRevision < revision) {
      // A newer response has already been handled. Ignore this one: it may carry an older
      // delegation record, whose tokens workers may reject.
      return;
    }
    if (!read.equals(delegation)) {
      log.info(
          "lease renewal delegated by the leader of term {}: tokens by zone {} (revision {},"
              + " requested {} ms ago)",
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
   * Announces to the leader, once per delegation record, that this controller renews leases. If no
   * controller announces this, the leader assumes that none reaches its workers and revokes the
   * delegation.
   */
  public void announceRenewal() {
    if (announcedRevision == revision) {
      return;
    }
    long announced = revision;
    announcedRevision = announced;
    store.transaction(
        new Transaction()
            .put(LeaderElection.RENEWAL_ANNOUNCEMENT, new RenewalAnnouncement(announced).write()),
        StateClient.RequestPriority.URGENT,
        result -> {
          if (!result.applied() && announcedRevision == announced) {
            announcedRevision = RenewalAnnouncement.NONE;
          }
        });
  }

  /**
   * Returns the right to renew the leases of the workers in the zone; empty if this controller does
   * not have that right now. Must be called immediately before each renewal, because the right
   * expires.
   */
  public Optional<RenewalRight> renewalRight(String zone) {
    long validUntil = readSentMicros + VALID_MICROS;
    OptionalLong token = delegation.tokenOf(zone);
    if (token.isEmpty() || election.leading() || loop.nowMicros() >= validUntil) {
      return Optional.empty();
    }
    return Optional.of(new RenewalRight(token.getAsLong(), validUntil));
  }
}
