package plumlever.drill;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Runs a short sharing drill: three controller processes, one of which is killed or paused. Guards
 * against lost and duplicate task results when machines are transferred between processes.
 */
final class SharingDrillTest {
  private static final int SECONDS = 50;
  private static final int MACHINES = 6;

  @Test
  void machinesAreTransferredAndNoResultIsLostOrProducedTwice() throws Exception {
    SharingDrill.Outcome outcome =
        SharingDrill.run(new SharingDrill.Plan(SECONDS, MACHINES, 3, List.of(), true, 2));
    assertTrue(outcome.passed(), String.join("\n", outcome.lines()));
  }
}
