package plumlever.election;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.slf4j.Logger;
import plumlever.concurrent.EventLoop;
import plumlever.store.StateClient;

/**
 * The state of leadership as last read or watched. This class sends no requests and makes no
 * decisions.
 *
 * <p>Threads: all changes are made on the election loop. Volatile fields may be read on any thread,
 * each independently of the others; all other fields are read on the election loop only.
 */
final class LeadershipRecords {
  /** The revision of a key that does not exist. */
  private static final long ABSENT_KEY_REVISION = 0;

  /**
   * The revision of the leader key while nothing is known about that key, and the store revision
   * before the first read.
   */
  private static final long UNKNOWN_REVISION = -1;

  /**
   * The revisions of the leader key and the term key when this controller decided to attempt an
   * election. The election transaction requires that they are unchanged.
   *
   * @param leader the revision of the leader key, 0 if it does not exist
   * @param term the revision of the term key, 0 if it does not exist
   */
  record Revisions(long leader, long term) {}

  private final Logger log;
  private final EventLoop loop;
  private final Candidate candidate;
  private final boolean inPool;

  private boolean complete;
  private long storeRevision = UNKNOWN_REVISION;
  private long leaderRevision = ABSENT_KEY_REVISION;
  private volatile String leaderLabel;
  private String leaderNonce;
  private volatile long leaderSeenMicros;
  private long termRevision = ABSENT_KEY_REVISION;
  private volatile long term;
  private volatile boolean delegationExists;
  private volatile long announcedDelegationRevision = RenewalAnnouncement.NONE;

  /**
   * True if this controller must not lead: the state service contains the marker of a pool of
   * shards, but this controller has no sharing settings.
   */
  private volatile boolean ineligible;

  /**
   * @param candidate this controller
   * @param inPool true if this controller has the settings of the pool that its shard belongs to
   */
  LeadershipRecords(Logger log, EventLoop loop, Candidate candidate, boolean inPool) {
    this.log = log;
    this.loop = loop;
    this.candidate = candidate;
    this.inPool = inPool;
  }

  /**
   * Replaces the known leadership records by a complete listing of them.
   *
   * @param leading true while this controller leads; its own term is newer than the listed term
   */
  void replaceWith(StateClient.Listing listing, boolean leading) {
    leaderRevision = ABSENT_KEY_REVISION;
    leaderLabel = null;
    termRevision = ABSENT_KEY_REVISION;
    delegationExists = containsKey(listing, LeaderElection.DELEGATION);
    applyPoolMarker(containsKey(listing, PoolTerms.MARKER));
    long listedTerm = 0;
    for (StateClient.Item item : listing.items()) {
      if (item.key().equals(LeaderElection.LEADER)) {
        applyLeader(item.data(), item.revision());
      } else if (item.key().equals(LeaderElection.TERM)) {
        termRevision = item.revision();
        listedTerm = TermRecord.read(item.data()).number();
      }
    }
    if (!leading) {
      term = listedTerm;
    }
    storeRevision = listing.storeRevision();
    complete = true;
  }

  private static boolean containsKey(StateClient.Listing listing, String key) {
    return listing.items().stream().anyMatch(item -> item.key().equals(key));
  }

  /**
   * Updates the known leader and term from a listing of the leadership records. The watch still
   * continues from the revision before.
   */
  void refreshLeader(StateClient.Listing listing) {
    boolean leaderFound = false;
    for (StateClient.Item item : listing.items()) {
      if (item.key().equals(LeaderElection.LEADER)) {
        leaderFound = true;
        applyLeader(item.data(), item.revision());
      } else if (item.key().equals(LeaderElection.TERM)) {
        termRevision = item.revision();
        term = TermRecord.read(item.data()).number();
      }
    }
    if (!leaderFound) {
      leaderRevision = ABSENT_KEY_REVISION;
      leaderLabel = null;
    }
  }

  /**
   * Applies the changes of leadership records that a watch response reports.
   *
   * @param leading true while this controller leads; its own term is newer than that of the events
   */
  void apply(StateClient.WatchResponse changes, boolean leading) {
    storeRevision = Math.max(storeRevision, changes.storeRevision());
    for (StateClient.KeyEvent event : changes.events()) {
      apply(event, leading);
    }
    if (leaderLabel != null) {
      leaderSeenMicros = loop.nowMicros();
    }
  }

  private void apply(StateClient.KeyEvent event, boolean leading) {
    switch (event.key()) {
      case LeaderElection.LEADER -> applyLeaderEvent(event);
      case LeaderElection.TERM -> applyTermEvent(event, leading);
      case LeaderElection.DELEGATION -> delegationExists = !event.deleted();
      case LeaderElection.RENEWAL_ANNOUNCEMENT -> applyAnnouncement(event);
      case PoolTerms.MARKER -> applyPoolMarker(!event.deleted());
      default -> {
        // Changes of other keys under the leadership prefix are ignored.
      }
    }
  }

  private void applyLeaderEvent(StateClient.KeyEvent event) {
    if (event.revision() <= leaderRevision) {
      return;
    }
    if (event.deleted()) {
      leaderRevision = ABSENT_KEY_REVISION;
      leaderLabel = null;
    } else {
      applyLeader(event.data(), event.revision());
    }
  }

  private void applyLeader(JsonNode stored, long revision) {
    Candidate leader = LeaderRecord.read(stored).candidate();
    leaderRevision = revision;
    leaderLabel = leader.label();
    leaderNonce = leader.nonce();
    leaderSeenMicros = loop.nowMicros();
  }

  private void applyTermEvent(StateClient.KeyEvent event, boolean leading) {
    if (event.deleted() || event.revision() <= termRevision) {
      return;
    }
    termRevision = event.revision();
    if (!leading) {
      term = TermRecord.read(event.data()).number();
    }
  }

  private void applyAnnouncement(StateClient.KeyEvent event) {
    if (!event.deleted()) {
      announcedDelegationRevision = RenewalAnnouncement.read(event.data()).delegationRevision();
    }
  }

  private void applyPoolMarker(boolean found) {
    boolean nowIneligible = found && !inPool;
    if (nowIneligible && !ineligible) {
      log.error(
          "the state service holds a pool of shards, but this controller has no sharing file:"
              + " it takes no part in elections and does not serve users");
    }
    ineligible = nowIneligible;
  }

  /** Records that this controller was elected. */
  void elected(long newTerm) {
    term = newTerm;
    leaderLabel = candidate.label();
    leaderNonce = candidate.nonce();
    leaderSeenMicros = loop.nowMicros();
  }

  /**
   * Records that this controller no longer leads. The leader is unknown until the watch reports
   * that the leader key was deleted or replaced.
   */
  void leadershipEnded() {
    if (isOwnLeaderKey()) {
      leaderLabel = null;
      leaderRevision = UNKNOWN_REVISION;
    }
  }

  /** Returns true once all leadership records have been read. */
  boolean complete() {
    return complete;
  }

  /**
   * Returns the state service revision up to which changes of leadership records have been applied.
   */
  long storeRevision() {
    return storeRevision;
  }

  /** Returns the last known revisions of the leader key and the term key. */
  Revisions revisions() {
    return new Revisions(leaderRevision, termRevision);
  }

  /**
   * Returns true if another controller, or an earlier run of this controller, may hold the leader
   * key.
   */
  boolean ledByAnother() {
    return leaderRevision != ABSENT_KEY_REVISION && !isOwnLeaderKey();
  }

  /**
   * Returns true if no controller leads; call only while this controller does not lead. A leader
   * key with the label of this controller was then written before this process started, by a
   * process that has ended, so leadership is vacant.
   */
  boolean leadershipVacant() {
    return leaderRevision == ABSENT_KEY_REVISION || candidate.label().equals(leaderLabel);
  }

  private boolean isOwnLeaderKey() {
    return candidate.label().equals(leaderLabel) && candidate.nonce().equals(leaderNonce);
  }

  /** Returns the label of the last known leader; may be called on any thread. */
  Optional<String> leaderLabel() {
    return Optional.ofNullable(leaderLabel);
  }

  /**
   * Returns the time at which the leader was last known to hold the leader key; may be called on
   * any thread.
   */
  long leaderSeenMicros() {
    return leaderSeenMicros;
  }

  /** Returns the last known term; may be called on any thread. */
  long term() {
    return term;
  }

  /**
   * Returns true if a delegation record is known, by which the leader lets other controllers renew
   * leases; may be called on any thread.
   */
  boolean delegationExists() {
    return delegationExists;
  }

  /**
   * Returns the revision of the delegation record for which another controller last announced that
   * it renews leases; may be called on any thread.
   */
  long announcedDelegationRevision() {
    return announcedDelegationRevision;
  }

  /**
   * Returns true if this controller must not lead, because the state service contains the marker of
   * a pool of shards but this controller has no sharing settings. May be called on any thread.
   */
  boolean ineligible() {
    return ineligible;
  }
}
