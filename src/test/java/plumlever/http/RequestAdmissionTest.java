package plumlever.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import plumlever.concurrent.EventLoop;
import plumlever.metrics.LoggerProvider;
import plumlever.metrics.Metrics;
import plumlever.wire.ForwardedRequest;

/**
 * Tests the limit on open user requests and the immediate refusal of requests that can't be
 * admitted.
 */
final class RequestAdmissionTest {
  private static final int MAX_OPEN_REQUESTS = 256;

  private final Metrics metrics = new Metrics(LoggerProvider.SERVICE);
  private boolean ineligible;
  private final RequestAdmission admission =
      new RequestAdmission(new StoppedClock(), metrics, new Health());
  private final List<Integer> sentStatuses = new ArrayList<>();
  private int retryAfterS;

  private Optional<UserRequest> admit() {
    return admission.admit(
        "poll",
        new ForwardedRequest("GET", "/a", ""),
        (status, json, retry) -> {
          sentStatuses.add(status);
          retryAfterS = retry;
        });
  }

  private List<UserRequest> admitUpToLimit() {
    List<UserRequest> open = new ArrayList<>();
    for (int i = 0; i < MAX_OPEN_REQUESTS; i++) {
      admit().ifPresent(open::add);
    }
    return open;
  }

  @Test
  void admitsRequestsUpToLimit() {
    List<UserRequest> open = admitUpToLimit();

    assertEquals(MAX_OPEN_REQUESTS, open.size());
    assertEquals(List.of(), sentStatuses);
  }

  @Test
  void refusesRequestsBeyondLimitWithRetryAfter() {
    admitUpToLimit();

    assertTrue(admit().isEmpty());

    assertEquals(List.of(503), sentStatuses);
    assertTrue(retryAfterS > 0, "a refusal must have a Retry-After value");
    assertEquals(1, metrics.counter("users_turned_away"));
  }

  @Test
  void admitsRequestOnceAnotherHasItsResponse() {
    List<UserRequest> open = admitUpToLimit();

    open.get(0).send(200, "{}");

    assertTrue(admit().isPresent());
  }

  @Test
  void refusesRequestsWithoutSharingFile() {
    ineligible = true;

    assertTrue(admit().isEmpty());

    assertEquals(List.of(503), sentStatuses);
  }

  @Test
  void countsARequestThatIsRefusedLater() {
    admit().orElseThrow().retryLater(503, "not now", 1);

    assertEquals(1, metrics.counter("poll_refused"));
  }

  private final class Health implements ServingHealth {
    @Override
    public boolean canTakeRequests() {
      return true;
    }

    @Override
    public boolean onlyThisControllerRefused() {
      return false;
    }

    @Override
    public boolean ineligible() {
      return ineligible;
    }
  }

  private static final class StoppedClock implements EventLoop {
    @Override
    public long nowMicros() {
      return 0;
    }

    @Override
    public long wallMicros() {
      return 0;
    }

    @Override
    public Timer after(long delayMicros, Runnable action) {
      throw new UnsupportedOperationException("request admission must not start a timer");
    }

    @Override
    public void execute(Runnable action) {
      action.run();
    }
  }
}
