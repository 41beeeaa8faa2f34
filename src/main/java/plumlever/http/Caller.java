package plumlever.http;

import plumlever.settings.Endpoint;

/** Outgoing requests. The answer is given on the loop, exactly once. */
public interface Caller {
  /**
   * @param body null for none
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
     * @param status 0 when there was no response: the request may have been executed or may still
     *     be
     */
    void handle(int status, byte[] body);
  }
}
