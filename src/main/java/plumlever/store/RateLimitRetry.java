package plumlever.store;

import plumlever.concurrent.Loop;
import plumlever.wire.HttpStatus;

/**
 * Sends requests again shortly where a rate limit refused them. Any other failure is told at once:
 * in an outage users are not kept waiting.
 */
final class RateLimitRetry {
  /** How often a request is sent at most. */
  static final int MAX_ATTEMPTS = 4;

  private static final long PAUSE_MICROS = 150_000;

  private final Loop loop;

  RateLimitRetry(Loop loop) {
    this.loop = loop;
  }

  /**
   * A request has failed.
   *
   * @param status of its answer
   * @param attemptsLeft with the failed one
   */
  void retryOr(int status, int attemptsLeft, Runnable retry, Runnable fail) {
    if (status == HttpStatus.TOO_MANY_REQUESTS) {
      retryOr(attemptsLeft, retry, fail);
    } else {
      fail.run();
    }
  }

  /**
   * A request has to be sent again.
   *
   * @param attemptsLeft with the last one
   */
  void retryOr(int attemptsLeft, Runnable retry, Runnable fail) {
    if (attemptsLeft > 1) {
      loop.after(PAUSE_MICROS, retry);
    } else {
      fail.run();
    }
  }
}
