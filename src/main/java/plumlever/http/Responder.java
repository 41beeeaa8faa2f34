package plumlever.http;

import plumlever.wire.Json;

/**
 * Sends the response to one incoming request. Only the first response is sent; later ones are
 * dropped.
 */
public interface Responder {
  /**
   * Sends the response.
   *
   * @param retryAfterS value of the Retry-After header in seconds; 0 for no header
   */
  void send(int status, String json, int retryAfterS);

  /**
   * True if a controller of another shard forwarded the request. Such a request must not be
   * forwarded again.
   */
  default boolean isForwarded() {
    return false;
  }

  /**
   * Closes the connection after the response, so that the client connects again, possibly to
   * another controller.
   */
  default void closeConnection() {}

  /**
   * True if the server is close to its connection limit and connections that are not needed should
   * be closed.
   */
  default boolean nearConnectionLimit() {
    return false;
  }

  default void send(int status, String json) {
    send(status, json, 0);
  }

  /** Responds with a final error, without a Retry-After header. */
  default void error(int status, String reason) {
    retryLater(status, reason, 0);
  }

  /** Responds with an error and the time after which the client may retry. */
  default void retryLater(int status, String reason, int retryAfterS) {
    send(status, Json.write(Json.object().put("error", reason)), retryAfterS);
  }
}
