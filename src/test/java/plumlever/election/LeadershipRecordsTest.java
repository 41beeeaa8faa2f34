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
import plumlever.concurrent.ManualLoop;
import plumlever.store.StateClient;
import plumlever.wire.Json;

/** The state of leadership that a controller derives from the records it has read or watched. */
final class LeadershipRecordsTest {
  private static final Candidate SELF = new Candidate("n0", "this incarnation");
  private static final Candidate EARLIER_SELF = new Candidate("n0", "earlier incarnation");
  private static final Candidate OTHER = new Candidate("n1", "other incarnation");

  private final ManualLoop loop = new ManualLoop(0);
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

  private static StateClient.Listing ledBy(Candidate leader, long term, long revision) {
    return listing(
        item(LeaderElection.LEADER, new LeaderRecord(leader, term).write(), revision),
        item(LeaderElection.TERM, new TermRecord(term).write(), revision));
  }

  private static StateClient.KeyEvent stored(String key, JsonNode data, long revision) {
    return new StateClient.KeyEvent(key, Optional.of(data), revision);
  }

  private static StateClient.KeyEvent deleted(String key, long revision) {
    return new StateClient.KeyEvent(key, Optional.empty(), revision);
  }

  private void watched(StateClient.KeyEvent... events) {
    List<StateClient.KeyEvent> all = new ArrayList<>(List.of(events));
    records.apply(new StateClient.WatchResponse(200, 101, all), false);
  }

  @Test
  void leadershipIsFreeWithoutALeadersKey() {
    records.replaceBy(listing(), false);

    assertTrue(records.complete());
    assertTrue(records.leadershipFree());
    assertFalse(records.ledByAnother());
  }

  @Test
  void leadershipOfAnotherControllerIsNotFree() {
    records.replaceBy(ledBy(OTHER, 4, 7), false);

    assertFalse(records.leadershipFree());
    assertTrue(records.ledByAnother());
    assertEquals(Optional.of("n1"), records.leaderLabel());
    assertEquals(4, records.term());
  }

  @Test
  void aKeyOfAnEarlierLifeOfThisControllerIsFree() {
    records.replaceBy(ledBy(EARLIER_SELF, 4, 7), false);

    assertTrue(records.leadershipFree());
  }

  @Test
  void aKeyOfAnEarlierLifeEndsATermOfThisOne() {
    records.replaceBy(ledBy(EARLIER_SELF, 4, 7), true);

    assertTrue(records.ledByAnother());
  }

  @Test
  void leadershipIsFreeOnceTheLeadersKeyIsDeleted() {
    records.replaceBy(ledBy(OTHER, 4, 7), false);

    watched(deleted(LeaderElection.LEADER, 8));

    assertTrue(records.leadershipFree());
    assertEquals(Optional.empty(), records.leaderLabel());
  }

  @Test
  void anEventThatIsOlderThanWhatIsKnownChangesNothing() {
    records.replaceBy(ledBy(OTHER, 4, 7), false);

    watched(
        deleted(LeaderElection.LEADER, 7),
        stored(LeaderElection.TERM, new TermRecord(3).write(), 6));

    assertFalse(records.leadershipFree());
    assertEquals(4, records.term());
  }

  @Test
  void whoeverLeadsKnowsItsTermBetterThanTheRecords() {
    records.elected(5);

    records.replaceBy(ledBy(OTHER, 4, 7), true);

    assertEquals(5, records.term());
  }

  @Test
  void theDecisionToStandRestsOnTheRevisionsThatWereRead() {
    records.replaceBy(ledBy(EARLIER_SELF, 4, 7), false);

    assertEquals(new LeadershipRecords.Revisions(7, 7), records.revisions());
  }

  @Test
  void nothingIsKnownOfTheLeaderAfterAnOwnTermHasEnded() {
    records.elected(5);

    records.leadershipEnded();

    assertEquals(Optional.empty(), records.leaderLabel());
    assertFalse(
        records.leadershipFree(),
        "not vacant until this controller's leader key is known to be deleted");
  }

  @Test
  void aDelegationIsSeenUntilItIsDeleted() {
    watched(stored(LeaderElection.DELEGATION, Json.object(), 3));
    assertTrue(records.delegationSeen());

    watched(deleted(LeaderElection.DELEGATION, 4));
    assertFalse(records.delegationSeen());
  }

  @Test
  void anAnnouncementNamesItsDelegation() {
    watched(stored(LeaderElection.RENEWAL_ANNOUNCEMENT, new RenewalAnnouncement(3).write(), 4));

    assertEquals(3, records.announcedDelegation());
  }

  @Test
  void aControllerThatKnowsNothingOfThePoolIsIneligible() {
    StateClient.Listing pool = listing(item(PoolTerms.MARKER, Json.object(), 1));
    LeadershipRecords inPool = recordsOf(true);

    records.replaceBy(pool, false);
    inPool.replaceBy(pool, false);

    assertTrue(records.ineligible());
    assertFalse(inPool.ineligible());
  }
}
