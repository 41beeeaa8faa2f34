package plumlever.store;

import plumlever.concurrent.EventLoop;
import plumlever.wire.HttpStatus;

/**
 * Retries requests that a rate limit refused, after a short pause. By default, any other failure is
 * reported immediately, so that users do not wait during an outage.
 */
final class RateLimitRetry {
  /** The maximum number of times that a request is sent, including the first. */
  static final int MAX_ATTEMPTS = 4;

  private static final long PAUSE_MICROS = 150_000;

  private final EventLoop loop;

  RateLimitRetry(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Retries a failed request if it was rate-limited and attempts are left; otherwise reports the
   * failure.
   *
   * @param status the status of the response
   * @param attemptsLeft the remaining attempts, including the failed one
   */
  void retryOrFail(int status, int attemptsLeft, Runnable retry, Runnable fail) {
    if (status == HttpStatus.TOO_MANY_REQUESTS) {
      retryOrFail(attemptsLeft, retry, fail);
    } else {
      fail.run();
    }
  }

  /**
   * Retries a failed request, whatever the cause, if attempts are left; otherwise reports the
   * failure.
   *
   * @param attemptsLeft the remaining attempts, including the failed one
   */
  void retryOrFail(int attemptsLeft, Runnable retry, Runnable fail) {
    if (attemptsLeft > 1) {
      loop.after(PAUSE_MICROS, retry);
    } else {
      fail.run();
    }
  }
}
