package plumlever.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests what a job's failures say about machines and about the job. */
final class FailureHistoryTest {
  private static final long NOW_MICROS = 5_000_000_000L;

  private final FailureHistory history = new FailureHistory();

  private void failOn(int machines) {
    for (int i = 0; i < machines; i++) {
      history.recordError("m" + i, NOW_MICROS);
    }
  }

  /** Guards against a task that is tried again where it failed, because one job is not enough. */
  @Test
  void aSingleFailureIsEvidenceAgainstTheMachine() {
    failOn(1);
    assertEquals(Set.of("m0"), history.machines(NOW_MICROS));
    assertTrue(history.worthWaiting(NOW_MICROS));
    assertFalse(history.suspectsJob());
  }

  @Test
  void evidenceFades() {
    failOn(1);
    long faded = NOW_MICROS + FailureHistory.FADE_MICROS + 1;
    assertEquals(Set.of(), history.machines(faded));
    assertFalse(history.hasAny());
  }

  @Test
  void waitingForAnotherMachineEnds() {
    failOn(1);
    assertFalse(history.worthWaiting(NOW_MICROS + FailureHistory.MAX_WAIT_MICROS));
  }

  /** Guards against rentals for a job that fails on every machine. */
  @Test
  void failuresOnSeveralMachinesAreEvidenceAgainstTheJob() {
    failOn(FailureHistory.JOB_SUSPECT_MIN_MACHINES);
    assertTrue(history.suspectsJob());
    assertFalse(history.worthWaiting(NOW_MICROS));
  }

  @Test
  void aSuccessIsEvidenceAgainstTheMachines() {
    failOn(FailureHistory.JOB_SUSPECT_MIN_MACHINES);
    history.recordSuccess("m0");
    assertFalse(history.suspectsJob());
    assertEquals(Set.of("m1", "m2"), history.machines(NOW_MICROS));
  }

  @Test
  void theNumberOfRememberedMachinesIsLimited() {
    failOn(1_000);
    Set<String> machines = history.machines(NOW_MICROS);
    assertTrue(machines.size() < 100, "remembered machines: " + machines.size());
    assertTrue(machines.contains("m999"), "the latest failure is remembered");
  }
}
