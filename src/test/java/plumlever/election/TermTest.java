package plumlever.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import plumlever.concurrent.ManualEventLoop;
import plumlever.settings.SchedulerParameters;

/** Tests for how long a controller has the right to act as leader in a term. */
final class TermTest {
  private final SchedulerParameters parameters = SchedulerParameters.defaults();
  private final ManualEventLoop loop = new ManualEventLoop(1_000_000);
  private final Term term = new Term(loop, 7, 40, 12);

  @Test
  void mayNotActBeforeTheLeaseIsCreated() {
    assertFalse(term.mayAct());
  }

  @Test
  void theRightToActEndsBeforeTheLeaseCanExpire() {
    long sentMicros = loop.nowMicros();
    term.extendFrom(sentMicros, parameters);
    assertTrue(term.mayAct());
    assertTrue(
        term.mayActUntilMicros() + parameters.leaseSafetyMarginMicros()
            <= sentMicros + parameters.leaseTtlMicros());

    loop.advance(term.mayActUntilMicros() - loop.nowMicros());

    assertFalse(term.mayAct());
  }

  @Test
  void aLateRenewalResponseDoesNotShortenTheRightToAct() {
    term.extendFrom(1_000_000, parameters);
    long untilMicros = term.mayActUntilMicros();

    term.extendFrom(900_000, parameters);

    assertEquals(untilMicros, term.mayActUntilMicros());
  }

  @Test
  void anEndedTermStaysEnded() {
    term.extendFrom(1_000_000, parameters);
    term.end();

    term.extendFrom(2_000_000, parameters);

    assertFalse(term.mayAct());
  }
}
