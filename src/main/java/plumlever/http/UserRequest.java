package plumlever.http;

import java.util.function.IntConsumer;
import plumlever.wire.ForwardedRequest;

/** A user's request that is being answered, as it came in. */
final class UserRequest implements Responder {
  private final ForwardedRequest request;
  private final Responder out;
  private final IntConsumer answered;

  /**
   * @param answered takes the status of the answer, right before it is sent
   */
  UserRequest(ForwardedRequest request, Responder out, IntConsumer answered) {
    this.request = request;
    this.out = out;
    this.answered = answered;
  }

  /** The request as another shard's controller would be asked it. */
  ForwardedRequest request() {
    return request;
  }

  @Override
  public void send(int status, String json, int retryAfterS) {
    answered.accept(status);
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
