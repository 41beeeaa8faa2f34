package plumlever.http;

import plumlever.wire.HttpStatus;

/**
 * The reason why a submission is refused.
 *
 * @param retryAfterS seconds after which to submit again; 0 if the submission will never be
 *     accepted
 */
record SubmissionRefusal(int status, String reason, int retryAfterS) {
  private static final int RETRY_AFTER_S = 1;

  /** The submission violates the protocol. */
  static SubmissionRefusal invalid(String reason) {
    return new SubmissionRefusal(HttpStatus.BAD_REQUEST, reason, 0);
  }

  /** The submission is valid but its job can never run. */
  static SubmissionRefusal unprocessable(String reason) {
    return new SubmissionRefusal(HttpStatus.UNPROCESSABLE, reason, 0);
  }

  /** The submission is valid, but it cannot be determined yet whether its job can ever run. */
  static SubmissionRefusal undecided(String reason) {
    return new SubmissionRefusal(HttpStatus.SERVICE_UNAVAILABLE, reason, RETRY_AFTER_S);
  }

  void respond(Responder out) {
    out.retryLater(status, reason, retryAfterS);
  }
}
