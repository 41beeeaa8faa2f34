package plumlever.http;

/** Answers one incoming request, once. */
public interface Responder {
  /**
   * @param retryAfterS 0 for none
   */
  void send(int status, String json, int retryAfterS);

  /** True for a request that another cell's controller passed on: it is answered here or not. */
  default boolean isForwarded() {
    return false;
  }

  /** The connection ends with the answer, so that its user finds another controller. */
  default void closeConnection() {}

  /** True when connections are short: one that can be done without is better closed. */
  default boolean connectionsScarce() {
    return false;
  }

  default void send(int status, String json) {
    send(status, json, 0);
  }

  default void error(int status, String reason) {
    send(status, plumlever.wire.Json.write(plumlever.wire.Json.object().put("error", reason)), 0);
  }

  /** For what can't be taken now: tells when to come back. */
  default void retryLater(int status, String reason, int retryAfterS) {
    send(
        status,
        plumlever.wire.Json.write(plumlever.wire.Json.object().put("error", reason)),
        retryAfterS);
  }
}
