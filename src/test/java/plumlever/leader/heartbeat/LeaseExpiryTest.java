package plumlever.leader.heartbeat;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import plumlever.fleet.Attempt;
import plumlever.fleet.HeartbeatSource;
import plumlever.fleet.StartChannel;
import plumlever.wire.Heartbeat;

/** Guards against attempts that are ended while the lease of their incarnation still runs. */
final class LeaseExpiryTest {
  private static final long SECOND_MICROS = 1_000_000;

  /** More than the lease with the drift of the clocks and the margin for a late timer. */
  private static final long CERTAINLY_EXPIRED_MICROS =
      HeartbeatFixture.LEASE_MICROS + 2 * SECOND_MICROS;

  private final HeartbeatFixture fixture = new HeartbeatFixture();

  /** The ways in which a leader learns of an incarnation without renewing its lease. */
  private enum FirstSign {
    /** The response to a direct call: a refused command, or a request for the machine's state. */
    DIRECT_RESPONSE {
      @Override
      void apply(HeartbeatFixture fixture, Heartbeat heartbeat) {
        fixture.handler.apply(fixture.machine, heartbeat, HeartbeatSource.DIRECT_RESPONSE);
      }
    },
    /** A heartbeat whose renewal is refused, or a late duplicate of a heartbeat. */
    UNANSWERED_HEARTBEAT {
      @Override
      void apply(HeartbeatFixture fixture, Heartbeat heartbeat) {
        fixture.handler.apply(fixture.machine, heartbeat, HeartbeatSource.WORKER);
      }
    },
    /** A heartbeat that the leader of another shard relays. */
    RELAYED_HEARTBEAT {
      @Override
      void apply(HeartbeatFixture fixture, Heartbeat heartbeat) {
        fixture.handler.applyRelayed(fixture.machine, heartbeat);
      }
    },
    /** The record of the machine's transfer from another shard. */
    TRANSFER_RECORD {
      @Override
      void apply(HeartbeatFixture fixture, Heartbeat heartbeat) {
        fixture.machine.contact().raiseIncarnation(heartbeat.incarnation(), fixture.nowMicros());
      }
    };

    abstract void apply(HeartbeatFixture fixture, Heartbeat heartbeat);
  }

  private void assertLiveUntilLeaseEnds(Attempt attempt) {
    fixture.advance(HeartbeatFixture.LEASE_MICROS);
    fixture.leaseExpiry.endIfExpired(fixture.machine, fixture.nowMicros());
    assertFalse(attempt.hasEnded(), "the attempt has ended before its incarnation");

    fixture.advance(CERTAINLY_EXPIRED_MICROS - HeartbeatFixture.LEASE_MICROS);
    fixture.leaseExpiry.endIfExpired(fixture.machine, fixture.nowMicros());
    assertTrue(attempt.hasEnded(), "the attempt has not ended although its lease has expired");
  }

  @ParameterizedTest
  @EnumSource(FirstSign.class)
  void attemptsOfAnIncarnationWithoutRenewalLiveForItsLease(FirstSign firstSign) {
    fixture.accounted();
    fixture.advance(CERTAINLY_EXPIRED_MICROS);
    firstSign.apply(fixture, fixture.heartbeatOfNextIncarnation());

    assertLiveUntilLeaseEnds(fixture.start(0, StartChannel.DIRECT_COMMAND));
  }

  @Test
  void attemptsOfAFirstIncarnationKnownOnlyFromADirectResponseLiveForItsLease() {
    fixture.advance(CERTAINLY_EXPIRED_MICROS);
    fixture.handler.apply(fixture.machine, fixture.heartbeat(), HeartbeatSource.DIRECT_RESPONSE);

    assertLiveUntilLeaseEnds(fixture.start(0, StartChannel.DIRECT_COMMAND));
  }

  @Test
  void laterMessagesOfAnIncarnationDoNotExtendItsLease() {
    fixture.accounted();
    fixture.handler.apply(
        fixture.machine, fixture.heartbeatOfNextIncarnation(), HeartbeatSource.DIRECT_RESPONSE);
    Attempt attempt = fixture.start(0, StartChannel.DIRECT_COMMAND);
    fixture.advance(HeartbeatFixture.LEASE_MICROS);
    fixture.handler.apply(
        fixture.machine,
        fixture.heartbeatOfNextIncarnation(HeartbeatFixture.running(attempt.task(), attempt.id())),
        HeartbeatSource.DIRECT_RESPONSE);

    fixture.advance(CERTAINLY_EXPIRED_MICROS - HeartbeatFixture.LEASE_MICROS);
    fixture.leaseExpiry.endIfExpired(fixture.machine, fixture.nowMicros());

    assertTrue(attempt.hasEnded());
  }

  @Test
  void aRenewedLeaseCountsFromTheRenewal() {
    fixture.accounted();
    Attempt attempt = fixture.start(0, StartChannel.DIRECT_COMMAND);
    fixture.advance(HeartbeatFixture.LEASE_MICROS);
    fixture.machine.recordRenewal(fixture.nowMicros());

    assertLiveUntilLeaseEnds(attempt);
  }
}
