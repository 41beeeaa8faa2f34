package plumlever.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.slf4j.helpers.NOPLogger;
import plumlever.concurrent.ManualEventLoop;
import plumlever.http.HttpClient;
import plumlever.metrics.LoggerProvider;
import plumlever.metrics.Metrics;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;
import plumlever.store.StateClient;

/** Tests the conditions under which a controller stops leading. */
final class HeldTermTest {
  private static final long STALL_MICROS = 11_000_000;

  private final SchedulerParameters parameters = SchedulerParameters.defaults();
  private final ManualEventLoop loop = new ManualEventLoop(1_000_000_000);
  private final List<Term> steppedDown = new ArrayList<>();
  private final List<String> revoked = new ArrayList<>();
  private int renewalStatus = 200;
  private boolean controllerLoopRuns = true;
  private final HeldTerm heldTerm = createHeldTerm();

  private HeldTerm createHeldTerm() {
    PlatformConfiguration.StateLimits limits =
        new PlatformConfiguration.StateLimits(100, 40, 4096, 8);
    HttpClient stateService =
        (to, method, path, body, timeoutMicros, responseHandler) -> {
          if (method.equals("DELETE")) {
            revoked.add(path);
          } else {
            responseHandler.handle(renewalStatus, "{}".getBytes(StandardCharsets.UTF_8));
          }
        };
    StateClient store =
        new StateClient(
            loop,
            stateService,
            new Endpoint("state", 1),
            limits,
            new Metrics(LoggerProvider.SERVICE));
    LeadershipRecords records =
        new LeadershipRecords(
            NOPLogger.NOP_LOGGER, loop, new Candidate("n0", "incarnation"), false);
    return new HeldTerm(
        NOPLogger.NOP_LOGGER,
        new ElectionContext(loop, store, parameters, records),
        new Listener(),
        new Observer());
  }

  private final class Listener implements ElectionListener {
    @Override
    public void elected(Term term) {}

    @Override
    public void steppedDown(Term term) {
      steppedDown.add(term);
    }

    @Override
    public void executeOnControllerLoop(Runnable action) {
      if (controllerLoopRuns) {
        action.run();
      }
    }
  }

  private static final class Observer implements HeldTerm.Observer {
    @Override
    public void attemptsPaused(long pauseMicros) {}

    @Override
    public void termEnded() {}
  }

  private Term begin() {
    Term term = new Term(loop, 3, 20, 9);
    heldTerm.begin(term, loop.nowMicros());
    return term;
  }

  @Test
  void keepsLeadingWhileTheLeaseIsRenewed() {
    Term term = begin();

    loop.advance(10 * parameters.leaseTtlMicros());

    assertEquals(Optional.of(term), heldTerm.current());
    assertTrue(heldTerm.mayAct());
  }

  @Test
  void stepsDownOnceTheLeaseHasEnded() {
    Term term = begin();
    renewalStatus = 404;

    loop.advance(parameters.leaseRenewalIntervalMicros());

    assertFalse(heldTerm.leading());
    assertEquals(List.of(term), steppedDown);
  }

  @Test
  void stopsActingBeforeTheLeaseEndsWhenRenewalsAreUnanswered() {
    Term term = begin();
    renewalStatus = 0;

    loop.advance(parameters.leaseTtlMicros() - parameters.leaseSafetyMarginMicros());

    assertFalse(term.mayAct());
    assertFalse(heldTerm.leading());
  }

  @Test
  void revokesTheLeaseWhenTheControllerLoopHasStalled() {
    begin();
    controllerLoopRuns = false;

    loop.advance(STALL_MICROS);

    assertFalse(heldTerm.leading());
    assertEquals(1, revoked.size());
  }

  @Test
  void resigningATermThatIsNotHeldHasNoEffect() {
    Term term = begin();

    heldTerm.resign(new Term(loop, 2, 10, 8), "test: term is not held", 0);

    assertEquals(Optional.of(term), heldTerm.current());
    assertEquals(List.of(), revoked);
  }

  @Test
  void doesNotLeadIfTheLeaseExpiredDuringTheElection() {
    Term term = new Term(loop, 3, 20, 9);

    heldTerm.begin(term, loop.nowMicros() - parameters.leaseTtlMicros());

    assertFalse(heldTerm.leading());
    assertEquals(List.of(term), steppedDown);
  }
}
