package plumlever.http;

import plumlever.settings.Endpoint;

/** Sends requests. The answer is handed over on the loop, exactly once. */
public interface Caller {
  /**
   * Sends one request, without repeating it.
   *
   * @param body null for none
   * @param timeoutMicros after which it counts as unanswered
   */
  void call(
      Endpoint to,
      String method,
      String path,
      byte[] body,
      long timeoutMicros,
      ResponseHandler handler);

  /** Takes what came of a request. */
  interface ResponseHandler {
    /**
     * Takes the response.
     *
     * @param status 0 when there was no response: the request may have been executed or may still
     *     be
     * @param body empty for none
     */
    void handle(int status, byte[] body);
  }
}
