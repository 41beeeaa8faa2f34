package plumlever.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import plumlever.wire.HttpStatus;

/**
 * A response of the state service.
 *
 * @param status the HTTP status; 0 if there was no response or the response was unreadable
 * @param body the body of a response with status 200 or 409; empty if there is no body
 */
record StateResponse(int status, Optional<ObjectNode> body) {
  static StateResponse withoutBody(int status) {
    return new StateResponse(status, Optional.empty());
  }

  /** Returns the body of a response with status 200. */
  Optional<ObjectNode> successBody() {
    return status == HttpStatus.OK ? body : Optional.empty();
  }

  /**
   * Returns the status to report to the caller if the response does not contain the requested data.
   */
  int failureStatus() {
    return status == HttpStatus.OK ? 0 : status;
  }
}
