package plumlever.http;

import plumlever.wire.HttpStatus;

/**
 * Why a submission is not accepted.
 *
 * @param retryAfterS when to submit again; 0 if it will never be accepted
 */
record SubmissionRefusal(int status, String reason, int retryAfterS) {
  private static final int RETRY_AFTER_S = 1;

  /** The submission breaks the protocol. */
  static SubmissionRefusal invalid(String reason) {
    return new SubmissionRefusal(HttpStatus.BAD_REQUEST, reason, 0);
  }

  /** The submission is well formed but can never run. */
  static SubmissionRefusal unprocessable(String reason) {
    return new SubmissionRefusal(HttpStatus.UNPROCESSABLE, reason, 0);
  }

  /** Whether it can run is not known yet. */
  static SubmissionRefusal undecided(String reason) {
    return new SubmissionRefusal(HttpStatus.UNAVAILABLE, reason, RETRY_AFTER_S);
  }

  void answer(Responder out) {
    out.retryLater(status, reason, retryAfterS);
  }
}
