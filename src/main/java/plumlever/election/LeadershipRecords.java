package plumlever.election;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.slf4j.Logger;
import plumlever.concurrent.Loop;
import plumlever.store.StateClient;

/**
 * What was last read or watched of the leadership records. It sends nothing and decides nothing.
 *
 * <p>Threads: everything is changed on the election's loop only. The volatile fields may be read on
 * any thread, each by itself; all others are read on that loop as well.
 */
final class LeadershipRecords {
  /** The revision of a key that does not exist. */
  private static final long NO_KEY = 0;

  /** In place of the leader key's revision when nothing is known of it. */
  private static final long UNKNOWN = -1;

  /**
   * The revisions that a decision to stand is taken on, and that its transaction requires.
   *
   * @param leader of the leader's key, 0 if there is none
   * @param term of the term's key, 0 if there is none
   */
  record Revisions(long leader, long term) {}

  private final Logger log;
  private final Loop loop;
  private final Candidate candidate;
  private final boolean inPool;

  private boolean complete;
  private long storeRevision = UNKNOWN;
  private long leaderRevision = NO_KEY;
  private volatile String leaderLabel;
  private String leaderNonce;
  private volatile long leaderSeenMicros;
  private long termRevision = NO_KEY;
  private volatile long term;
  private volatile boolean delegationSeen;
  private volatile long announcedDelegation = RenewalAnnouncement.NONE;

  /** The state service holds a pool, of which this controller knows nothing. */
  private volatile boolean ineligible;

  /**
   * @param candidate this controller
   * @param inPool true if it is told of the pool that its shard belongs to
   */
  LeadershipRecords(Logger log, Loop loop, Candidate candidate, boolean inPool) {
    this.log = log;
    this.loop = loop;
    this.candidate = candidate;
    this.inPool = inPool;
  }

  /**
   * Takes over a complete listing.
   *
   * @param leading true while this controller leads: it knows its term better
   */
  void replaceBy(StateClient.Listing listing, boolean leading) {
    leaderRevision = NO_KEY;
    leaderLabel = null;
    termRevision = NO_KEY;
    delegationSeen = holds(listing, LeaderElection.DELEGATION);
    applyPoolMarker(holds(listing, PoolTerms.MARKER));
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

  private static boolean holds(StateClient.Listing listing, String key) {
    return listing.items().stream().anyMatch(item -> item.key().equals(key));
  }

  /** Takes over who leads and in which term; the watch goes on from where it was. */
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
      leaderRevision = NO_KEY;
      leaderLabel = null;
    }
  }

  /**
   * Takes over what a watch told.
   *
   * @param leading true while this controller leads: it knows its term better
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
      case LeaderElection.DELEGATION -> delegationSeen = !event.deleted();
      case LeaderElection.RENEWAL_ANNOUNCEMENT -> applyAnnouncement(event);
      case PoolTerms.MARKER -> applyPoolMarker(!event.deleted());
      default -> {
        // Other keys under the prefix are not this controller's concern.
      }
    }
  }

  private void applyLeaderEvent(StateClient.KeyEvent event) {
    if (event.revision() <= leaderRevision) {
      return;
    }
    if (event.deleted()) {
      leaderRevision = NO_KEY;
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
      announcedDelegation = RenewalAnnouncement.read(event.data()).delegationRevision();
    }
  }

  private void applyPoolMarker(boolean found) {
    boolean nowIneligible = found && !inPool;
    if (nowIneligible && !ineligible) {
      log.error("the state service holds a pool of cells: this controller needs its sharing file");
    }
    ineligible = nowIneligible;
  }

  /** This controller has been elected. */
  void elected(long newTerm) {
    term = newTerm;
    leaderLabel = candidate.label();
    leaderNonce = candidate.nonce();
    leaderSeenMicros = loop.nowMicros();
  }

  /**
   * This controller leads no more. Until its key is seen to go, or somebody else's comes, nothing
   * is known of who leads.
   */
  void leadershipEnded() {
    if (ownLeadership()) {
      leaderLabel = null;
      leaderRevision = UNKNOWN;
    }
  }

  /** True once all records have been read. */
  boolean complete() {
    return complete;
  }

  /** The revision up to which changes are taken over. */
  long storeRevision() {
    return storeRevision;
  }

  /** The revisions now. */
  Revisions revisions() {
    return new Revisions(leaderRevision, termRevision);
  }

  /** True if there is a leader's key, or may be, that is not of this life of this controller. */
  boolean ledByAnother() {
    return leaderRevision != NO_KEY && !ownLeadership();
  }

  /**
   * True if nobody leads, provided that this controller does not. A key of its own that it does not
   * act on is left from an earlier life of this process: that one is dead, so leadership is free.
   */
  boolean leadershipFree() {
    return leaderRevision == NO_KEY || candidate.label().equals(leaderLabel);
  }

  private boolean ownLeadership() {
    return candidate.label().equals(leaderLabel) && candidate.nonce().equals(leaderNonce);
  }

  /** The label of the last known leader; any thread. */
  Optional<String> leaderLabel() {
    return Optional.ofNullable(leaderLabel);
  }

  /** When the leader was last known to hold its key; any thread. */
  long leaderSeenMicros() {
    return leaderSeenMicros;
  }

  /** The last known term; any thread. */
  long term() {
    return term;
  }

  /** True if a delegation was there; any thread. */
  boolean delegationSeen() {
    return delegationSeen;
  }

  /** Revision of the delegation that was last announced to be used; any thread. */
  long announcedDelegation() {
    return announcedDelegation;
  }

  /** True if the state service holds a pool that this controller is not told of; any thread. */
  boolean ineligible() {
    return ineligible;
  }
}
