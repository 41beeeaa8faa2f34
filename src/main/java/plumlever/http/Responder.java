package plumlever.http;

import plumlever.wire.Json;

/** Answers one incoming request, once; what is sent after that is dropped. */
public interface Responder {
  /**
   * Sends the answer.
   *
   * @param retryAfterS when to ask again, as a header; 0 for none
   */
  void send(int status, String json, int retryAfterS);

  /** True for a request that another shard's controller passed on: it is answered here or not. */
  default boolean isForwarded() {
    return false;
  }

  /** The connection ends with the answer, so that its user finds another controller. */
  default void closeConnection() {}

  /** True when connections are scarce: one that can be done without is better closed. */
  default boolean connectionsScarce() {
    return false;
  }

  default void send(int status, String json) {
    send(status, json, 0);
  }

  /** Refuses the request for good. */
  default void error(int status, String reason) {
    retryLater(status, reason, 0);
  }

  /** Refuses what can't be done now, with the time after which to ask again. */
  default void retryLater(int status, String reason, int retryAfterS) {
    send(status, Json.write(Json.object().put("error", reason)), retryAfterS);
  }
}
