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
 * The right of a follower to renew the leases of workers on behalf of a leader that cannot reach
 * the workers of some zones, while both controllers reach the state service.
 *
 * <p>The leader stores this right as a delegation, in a key attached to its own lease; the next
 * election deletes the key. A follower may use the delegation for {@link #VALID_MICROS} after it
 * <em>sent</em> the read that returned it. The leader waits for that time plus the duration of a
 * worker's lease before it treats the lease of a machine in these zones as expired (see {@code
 * LeaseExpiry}). It also waits for that time before it sends a command to such a machine.
 *
 * <p>Used on the controller loop only.
 */
public final class DelegatedRenewal {
  /**
   * The time for which a follower may renew leases under a delegation, counted from the sending of
   * the read that returned the delegation.
   */
  public static final long VALID_MICROS = 2_000_000;

  /** The interval at which a follower reads the delegation record while it exists. */
  private static final long READ_INTERVAL_MICROS = 600_000;

  /**
   * The right of a follower to renew the leases of the workers in one zone.
   *
   * @param token the fencing token that renewals carry
   * @param validUntilMicros the time at which the right expires unless the delegation is read again
   */
  public record RenewalRight(long token, long validUntilMicros) {}

  /** A delegation that covers no zone. */
  private static final DelegationRecord NO_DELEGATION = new DelegationRecord(-1, Map.of());

  private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

  private final Logger log;
  private final EventLoop loop;
  private final StateClient store;
  private final LeaderElection election;
  private DelegationRecord delegation = NO_DELEGATION;

  /** The revision of the newest delegation that was read. */
  private long revision = RenewalAnnouncement.NONE;

  /** The send time of the last read that returned a delegation. */
  private long readSentMicros = NEVER_MICROS;

  /**
   * The revision of the delegation for which this controller last announced that it renews leases.
   */
  private long announcedRevision = RenewalAnnouncement.NONE;

  /** Creates an instance for this controller that reads the delegation through the given client. */
  public DelegatedRenewal(
      EventLoop loop, StateClient store, LeaderElection election, LoggerProvider loggerProvider) {
    this.log = loggerProvider.of(DelegatedRenewal.class);
    this.loop = loop;
    this.store = store;
    this.election = election;
  }

  /** Returns the task that reads the delegation at a fixed interval while there is one. */
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
            // Only status 404 (no delegation record) ends the right to renew leases early. After
            // any other failed read, the right remains until it expires.
            delegation = NO_DELEGATION;
          }
        });
    return READ_INTERVAL_MICROS;
  }

  private void accept(DelegationRecord read, long readRevision, long sentMicros) {
    if (readRevision < revision) {
      // Responses may arrive out of order, and workers may reject the tokens of an older
      // delegation record.
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
   * Announces to the leader, once per delegation, that this controller has renewed a lease. Without
   * an announcement, the leader assumes that no other controller reaches its workers, and revokes
   * the delegation.
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
   * Returns the right to renew the leases of the workers in the zone, if this controller has it.
   * Callers must call this method again immediately before each renewal.
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
