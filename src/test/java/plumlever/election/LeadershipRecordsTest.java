package plumlever.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.slf4j.helpers.NOPLogger;
import plumlever.concurrent.ManualEventLoop;
import plumlever.store.StateClient;
import plumlever.wire.Json;

/**
 * Tests what a controller knows about the current leader from the records that it has read or
 * watched.
 */
final class LeadershipRecordsTest {
  private static final Candidate SELF = new Candidate("n0", "this incarnation");
  private static final Candidate EARLIER_INCARNATION = new Candidate("n0", "earlier incarnation");
  private static final Candidate OTHER = new Candidate("n1", "other incarnation");

  private final ManualEventLoop loop = new ManualEventLoop(0);
  private final LeadershipRecords records = recordsOf(false);

  private LeadershipRecords recordsOf(boolean inPool) {
    return new LeadershipRecords(NOPLogger.NOP_LOGGER, loop, SELF, inPool);
  }

  private static StateClient.Item item(String key, JsonNode data, long revision) {
    return new StateClient.Item(key, data, revision, 0);
  }

  private static StateClient.Listing listing(StateClient.Item... items) {
    return new StateClient.Listing(List.of(items), 100);
  }

  private static StateClient.Listing listingLedBy(Candidate leader, long term, long revision) {
    return listing(
        item(LeaderElection.LEADER, new LeaderRecord(leader, term).write(), revision),
        item(LeaderElection.TERM, new TermRecord(term).write(), revision));
  }

  private static StateClient.KeyEvent putEvent(String key, JsonNode data, long revision) {
    return new StateClient.KeyEvent(key, Optional.of(data), revision);
  }

  private static StateClient.KeyEvent deleteEvent(String key, long revision) {
    return new StateClient.KeyEvent(key, Optional.empty(), revision);
  }

  private void watch(StateClient.KeyEvent... events) {
    List<StateClient.KeyEvent> all = new ArrayList<>(List.of(events));
    records.apply(new StateClient.WatchResponse(200, 101, all), false);
  }

  @Test
  void leadershipIsVacantWithoutALeaderKey() {
    records.replaceWith(listing(), false);

    assertTrue(records.complete());
    assertTrue(records.leadershipVacant());
    assertFalse(records.ledByAnother());
  }

  @Test
  void leadershipHeldByAnotherControllerIsNotVacant() {
    records.replaceWith(listingLedBy(OTHER, 4, 7), false);

    assertFalse(records.leadershipVacant());
    assertTrue(records.ledByAnother());
    assertEquals(Optional.of("n1"), records.leaderLabel());
    assertEquals(4, records.term());
  }

  @Test
  void leadershipOfAnEarlierIncarnationIsVacant() {
    records.replaceWith(listingLedBy(EARLIER_INCARNATION, 4, 7), false);

    assertTrue(records.leadershipVacant());
  }

  @Test
  void aLeaderKeyOfAnEarlierIncarnationCountsAsAnotherLeader() {
    records.replaceWith(listingLedBy(EARLIER_INCARNATION, 4, 7), true);

    assertTrue(records.ledByAnother());
  }

  @Test
  void leadershipIsVacantAfterTheLeaderKeyIsDeleted() {
    records.replaceWith(listingLedBy(OTHER, 4, 7), false);

    watch(deleteEvent(LeaderElection.LEADER, 8));

    assertTrue(records.leadershipVacant());
    assertEquals(Optional.empty(), records.leaderLabel());
  }

  @Test
  void staleEventsAreIgnored() {
    records.replaceWith(listingLedBy(OTHER, 4, 7), false);

    watch(
        deleteEvent(LeaderElection.LEADER, 7),
        putEvent(LeaderElection.TERM, new TermRecord(3).write(), 6));

    assertFalse(records.leadershipVacant());
    assertEquals(4, records.term());
  }

  @Test
  void theTermOfALeaderIsNotReplacedByAListing() {
    records.elected(5);

    records.replaceWith(listingLedBy(OTHER, 4, 7), true);

    assertEquals(5, records.term());
  }

  @Test
  void revisionsAreThoseThatWereRead() {
    records.replaceWith(listingLedBy(EARLIER_INCARNATION, 4, 7), false);

    assertEquals(new LeadershipRecords.Revisions(7, 7), records.revisions());
  }

  @Test
  void theLeaderIsUnknownAfterAnOwnTermHasEnded() {
    records.elected(5);

    records.leadershipEnded();

    assertEquals(Optional.empty(), records.leaderLabel());
    assertFalse(
        records.leadershipVacant(),
        "not vacant until this controller's leader key is known to be deleted");
  }

  @Test
  void aDelegationExistsUntilItIsDeleted() {
    watch(putEvent(LeaderElection.DELEGATION, Json.object(), 3));
    assertTrue(records.delegationExists());

    watch(deleteEvent(LeaderElection.DELEGATION, 4));
    assertFalse(records.delegationExists());
  }

  @Test
  void anAnnouncementContainsTheDelegationRevision() {
    watch(putEvent(LeaderElection.RENEWAL_ANNOUNCEMENT, new RenewalAnnouncement(3).write(), 4));

    assertEquals(3, records.announcedDelegationRevision());
  }

  @Test
  void aControllerWithoutPoolSettingsIsIneligible() {
    StateClient.Listing pool = listing(item(PoolTerms.MARKER, Json.object(), 1));
    LeadershipRecords inPool = recordsOf(true);

    records.replaceWith(pool, false);
    inPool.replaceWith(pool, false);

    assertTrue(records.ineligible());
    assertFalse(inPool.ineligible());
  }
}
