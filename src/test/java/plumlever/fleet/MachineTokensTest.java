package plumlever.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the fencing tokens of a machine. */
final class MachineTokensTest {
  private static final long TERM = 7;
  private static final long FIRST = Fleet.firstToken(TERM);

  private final MachineTokens tokens = new MachineTokens();

  @BeforeEach
  void startTerm() {
    tokens.startTerm(TERM);
  }

  @Test
  void termStartsWithItsFirstToken() {
    assertEquals(FIRST, tokens.current());
    assertTrue(tokens.isOfSameTerm(FIRST + 5));
    assertFalse(tokens.isOfSameTerm(FIRST - 1));
  }

  @Test
  void tokenNeverDecreases() {
    tokens.raise(FIRST + 5);
    tokens.raise(FIRST + 2);

    assertEquals(FIRST + 5, tokens.current());
  }

  @Test
  void directCommandStaysValidUntilTokenIsRaised() {
    tokens.recordDirectCommand(0);
    assertTrue(tokens.hasUnfencedCommand());

    tokens.fenceDirectCommands();

    assertFalse(tokens.hasUnfencedCommand());
    assertEquals(FIRST + 1, tokens.current());
  }

  @Test
  void fencingWithoutCommandKeepsToken() {
    tokens.fenceDirectCommands();

    assertEquals(FIRST, tokens.current());
  }
}
