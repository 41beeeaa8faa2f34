package plumlever.http;

import plumlever.settings.Endpoint;

/** Sends HTTP requests. Each response handler is called exactly once, on the event loop. */
public interface HttpClient {
  /**
   * Sends one request without retries.
   *
   * @param body the request body, or null for none
   * @param timeoutMicros time after which the request ends without a response
   */
  void call(
      Endpoint to,
      String method,
      String path,
      byte[] body,
      long timeoutMicros,
      ResponseHandler handler);

  /** Handles the outcome of a request. */
  interface ResponseHandler {
    /**
     * Handles the response.
     *
     * @param status the HTTP status; 0 without a response, in which case the server may have
     *     executed the request or may still execute it
     * @param body the response body, empty for none
     */
    void handle(int status, byte[] body);
  }
}
