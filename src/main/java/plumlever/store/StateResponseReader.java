package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import plumlever.wire.HttpStatus;

/**
 * Converts responses of the state service to the result types of {@link StateClient}. A response
 * that lacks a required field is treated like a missing response.
 */
final class StateResponseReader {
  /**
   * A page of a listing.
   *
   * @param storeRevision the revision of the state service at which the page was read
   * @param lastStoredKey the last key of this page, after which the next page begins; empty for the
   *     last page
   */
  record Page(List<StateClient.Item> items, long storeRevision, Optional<String> lastStoredKey) {}

  private final KeySpace keySpace;

  /** Creates a reader for responses about keys of this key space. */
  StateResponseReader(KeySpace keySpace) {
    this.keySpace = keySpace;
  }

  StateClient.ReadResult readResult(StateResponse response, String key) {
    return response
        .successBody()
        .filter(
            body ->
                body.hasNonNull(StateProtocol.VALUE) && hasInteger(body, StateProtocol.REVISION))
        .map(body -> new StateClient.ReadResult(HttpStatus.OK, Optional.of(item(body, key))))
        .orElseGet(() -> new StateClient.ReadResult(response.failureStatus(), Optional.empty()));
  }

  Optional<Page> page(StateResponse response, String prefix) {
    return response
        .successBody()
        .filter(
            body ->
                body.path(StateProtocol.ITEMS).isArray()
                    && hasInteger(body, StateProtocol.STORE_REVISION))
        .map(body -> page(body, prefix));
  }

  private Page page(ObjectNode body, String prefix) {
    List<StateClient.Item> items = new ArrayList<>();
    String lastStoredKey = null;
    for (JsonNode node : body.get(StateProtocol.ITEMS)) {
      lastStoredKey = node.path(StateProtocol.KEY).asText();
      items.add(item(node, keySpace.fromStored(lastStoredKey, prefix)));
    }
    boolean more = body.path(StateProtocol.MORE).asBoolean(false);
    return new Page(
        items,
        body.get(StateProtocol.STORE_REVISION).longValue(),
        more ? Optional.ofNullable(lastStoredKey) : Optional.empty());
  }

  private static StateClient.Item item(JsonNode node, String key) {
    return new StateClient.Item(
        key,
        node.path(StateProtocol.VALUE),
        node.path(StateProtocol.REVISION).asLong(),
        node.path(StateProtocol.LEASE_ID).asLong(0));
  }

  /** Returns the revision of the state service at which it responded; empty if missing. */
  OptionalLong storeRevision(StateResponse response) {
    return integer(response, StateProtocol.STORE_REVISION);
  }

  /** Returns the id of the lease that the state service created; empty if missing. */
  OptionalLong leaseId(StateResponse response) {
    return integer(response, StateProtocol.LEASE_ID);
  }

  private static OptionalLong integer(StateResponse response, String field) {
    Optional<ObjectNode> body = response.successBody().filter(found -> hasInteger(found, field));
    return body.isPresent()
        ? OptionalLong.of(body.get().get(field).longValue())
        : OptionalLong.empty();
  }

  private static boolean hasInteger(JsonNode node, String field) {
    return node.path(field).isIntegralNumber();
  }

  Transaction.Result transactionResult(StateResponse response) {
    List<String> failedKeys = new ArrayList<>();
    long revision = -1;
    if (response.body().isPresent()) {
      ObjectNode body = response.body().get();
      body.path(StateProtocol.FAILED_PRECONDITIONS)
          .forEach(key -> failedKeys.add(keySpace.fromStored(key.asText())));
      revision = body.path(StateProtocol.STORE_REVISION).asLong(-1);
    }
    return new Transaction.Result(
        Transaction.Outcome.ofStatus(response.status()), response.status(), revision, failedKeys);
  }

  StateClient.RenewalResult renewalResult(StateResponse response) {
    return switch (response.status()) {
      case HttpStatus.OK -> StateClient.RenewalResult.RENEWED;
      case HttpStatus.NOT_FOUND -> StateClient.RenewalResult.ENDED;
      default -> StateClient.RenewalResult.UNKNOWN;
    };
  }

  /**
   * @param since the start revision of the watch, returned as the store revision if the response
   *     has none
   */
  StateClient.WatchResponse watchResponse(StateResponse response, String prefix, long since) {
    return response
        .successBody()
        .filter(body -> hasInteger(body, StateProtocol.STORE_REVISION))
        .map(
            body ->
                new StateClient.WatchResponse(
                    HttpStatus.OK,
                    body.get(StateProtocol.STORE_REVISION).longValue(),
                    events(body, prefix)))
        .orElseGet(() -> new StateClient.WatchResponse(response.failureStatus(), since, List.of()));
  }

  private List<StateClient.KeyEvent> events(ObjectNode body, String prefix) {
    List<StateClient.KeyEvent> events = new ArrayList<>();
    for (JsonNode node : body.path(StateProtocol.EVENTS)) {
      if (node.hasNonNull(StateProtocol.PUT)) {
        JsonNode value = node.path(StateProtocol.VALUE);
        events.add(event(node, StateProtocol.PUT, prefix, Optional.of(value)));
      } else if (node.hasNonNull(StateProtocol.DELETE)) {
        events.add(event(node, StateProtocol.DELETE, prefix, Optional.empty()));
      }
    }
    return events;
  }

  private StateClient.KeyEvent event(
      JsonNode node, String keyField, String prefix, Optional<JsonNode> value) {
    return new StateClient.KeyEvent(
        keySpace.fromStored(node.get(keyField).asText(), prefix),
        value,
        node.path(StateProtocol.REVISION).asLong());
  }
}
