package plumlever.http;

import java.util.function.IntConsumer;
import plumlever.wire.ForwardedRequest;

/** A user request with its original content, to which no response has been sent yet. */
final class UserRequest implements Responder {
  private final ForwardedRequest request;
  private final Responder out;
  private final IntConsumer onResponse;

  /**
   * @param onResponse receives the status code immediately before the response is sent
   */
  UserRequest(ForwardedRequest request, Responder out, IntConsumer onResponse) {
    this.request = request;
    this.out = out;
    this.onResponse = onResponse;
  }

  /** Returns the request in the form in which it can be forwarded to another shard. */
  ForwardedRequest request() {
    return request;
  }

  @Override
  public void send(int status, String json, int retryAfterS) {
    onResponse.accept(status);
    out.send(status, json, retryAfterS);
  }

  @Override
  public void closeConnection() {
    out.closeConnection();
  }

  @Override
  public boolean isForwarded() {
    return out.isForwarded();
  }
}
