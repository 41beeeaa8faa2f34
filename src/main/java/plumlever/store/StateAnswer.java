package plumlever.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import plumlever.wire.HttpStatus;

/**
 * An answer of the state service.
 *
 * @param status 0 without an answer, or with one that can't be understood
 * @param body of an answer 200 or 409, as far as it has one
 */
record StateAnswer(int status, Optional<ObjectNode> body) {
  static StateAnswer withoutBody(int status) {
    return new StateAnswer(status, Optional.empty());
  }

  /** The body of an answer 200. */
  Optional<ObjectNode> successBody() {
    return status == HttpStatus.OK ? body : Optional.empty();
  }

  /** The status to tell of an answer that did not hold what was asked for. */
  int failureStatus() {
    return status == HttpStatus.OK ? 0 : status;
  }
}
