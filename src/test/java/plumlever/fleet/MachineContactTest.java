package plumlever.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import plumlever.wire.Heartbeat;

/** Tests the communication state between a machine and its leader. */
final class MachineContactTest {
  private final MachineContact contact = new MachineContact();

  private static Heartbeat heartbeat(long incarnation, long sequenceNumber) {
    return new Heartbeat(
        "i-1",
        "i-1:9",
        "small",
        "a",
        false,
        incarnation,
        sequenceNumber,
        0,
        Heartbeat.NO_NOTICE,
        List.of());
  }

  @Test
  void duplicateOrOlderHeartbeatIsNotNewer() {
    assertTrue(contact.isNewerThanLast(heartbeat(0, 0)), "the first heartbeat counts as newer");
    contact.recordHeartbeat(heartbeat(2, 5), HeartbeatSource.WORKER, 10);

    assertFalse(contact.isNewerThanLast(heartbeat(2, 5)));
    assertFalse(contact.isNewerThanLast(heartbeat(1, 9)));
    assertTrue(contact.isNewerThanLast(heartbeat(2, 6)));
    assertTrue(contact.isNewerThanLast(heartbeat(3, 1)));
  }

  @Test
  void responseToDirectCallDoesNotCountAsHeartbeatSentByWorker() {
    contact.recordHeartbeat(heartbeat(1, 5), HeartbeatSource.DIRECT_RESPONSE, 10);

    assertFalse(contact.hasSentHeartbeat());
    assertEquals(0, contact.heartbeatSequenceNumber());
    assertEquals(10, contact.lastSeenMicros());
  }

  @Test
  void newIncarnationResetsHeartbeatSequenceNumber() {
    contact.recordHeartbeat(heartbeat(1, 5), HeartbeatSource.WORKER, 10);

    contact.recordHeartbeat(heartbeat(2, 1), HeartbeatSource.DIRECT_RESPONSE, 20);

    assertEquals(0, contact.heartbeatSequenceNumber());
  }

  @Test
  void twoConsecutiveLostResponsesMakeMachineUnreachable() {
    contact.recordLostResponse();
    assertFalse(contact.unreachable());

    contact.recordLostResponse();
    assertTrue(contact.unreachable());
  }

  @Test
  void deliveredResponseMakesMachineReachable() {
    contact.recordLostResponse();
    contact.recordLostResponse();

    contact.recordDeliveredResponse();

    assertFalse(contact.unreachable());
    contact.recordLostResponse();
    assertFalse(contact.unreachable(), "a delivered response resets the count of lost responses");
  }

  @Test
  void answeredCallResetsFailureCount() {
    contact.recordDirectCall(false);
    contact.recordDirectCall(false);
    assertEquals(2, contact.consecutiveFailedCalls());

    contact.recordDirectCall(true);
    assertEquals(0, contact.consecutiveFailedCalls());
  }
}
