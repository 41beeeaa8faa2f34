package plumlever.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses a heartbeat field by field without building a tree, because a leader receives hundreds of
 * heartbeats per second and they make up nearly all of the JSON that a leader parses. Unknown
 * fields are skipped.
 */
final class HeartbeatReader {
  /**
   * Value of a numeric field that has not been read yet. All numbers in a heartbeat are at least 0.
   */
  private static final long MISSING = -1;

  private final JsonParser parser;
  private String machineId;
  private String endpoint;
  private String machineType;
  private String zone;
  private Boolean spot;
  private long incarnation = MISSING;
  private long sequenceNumber = MISSING;
  private long fencingToken = MISSING;
  private double preemptionNoticeS = Heartbeat.NO_NOTICE;
  private List<Heartbeat.AttemptStatus> attempts = List.of();

  private HeartbeatReader(JsonParser parser) {
    this.parser = parser;
  }

  static Heartbeat read(byte[] body) throws InvalidMessageException {
    try (JsonParser parser = Json.parser(body)) {
      return new HeartbeatReader(parser).heartbeat();
    } catch (IOException e) {
      throw new InvalidMessageException("not JSON");
    }
  }

  private Heartbeat heartbeat() throws IOException, InvalidMessageException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new InvalidMessageException("not a JSON object");
    }
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      readField(name, parser.nextToken());
    }
    if (parser.currentToken() != JsonToken.END_OBJECT || parser.nextToken() != null) {
      throw new InvalidMessageException("not JSON");
    }
    return new Heartbeat(
        required(machineId, ProtocolField.MACHINE_ID),
        required(endpoint, ProtocolField.ENDPOINT),
        required(machineType, ProtocolField.MACHINE_TYPE),
        required(zone, ProtocolField.ZONE),
        required(spot, ProtocolField.SPOT),
        required(incarnation, ProtocolField.INCARNATION),
        required(sequenceNumber, ProtocolField.SEQUENCE_NUMBER),
        required(fencingToken, ProtocolField.FENCING_TOKEN),
        preemptionNoticeS,
        attempts);
  }

  private void readField(String name, JsonToken token) throws IOException, InvalidMessageException {
    switch (name) {
      case ProtocolField.MACHINE_ID -> machineId = text(name);
      case ProtocolField.ENDPOINT -> endpoint = text(name);
      case ProtocolField.MACHINE_TYPE -> machineType = text(name);
      case ProtocolField.ZONE -> zone = text(name);
      case ProtocolField.SPOT -> spot = flag(name);
      case ProtocolField.INCARNATION -> incarnation = wholeNumber(name);
      case ProtocolField.SEQUENCE_NUMBER -> sequenceNumber = wholeNumber(name);
      case ProtocolField.FENCING_TOKEN -> fencingToken = wholeNumber(name);
      case ProtocolField.PREEMPTION_NOTICE_S ->
          preemptionNoticeS = token == JsonToken.VALUE_NULL ? Heartbeat.NO_NOTICE : amount(name);
      case ProtocolField.ATTEMPTS ->
          attempts = token == JsonToken.VALUE_NULL ? List.of() : attempts();
      default -> parser.skipChildren();
    }
  }

  private static <T> T required(T value, String name) throws InvalidMessageException {
    if (value == null) {
      throw missing(name);
    }
    return value;
  }

  private static long required(long value, String name) throws InvalidMessageException {
    if (value == MISSING) {
      throw missing(name);
    }
    return value;
  }

  private static InvalidMessageException missing(String name) {
    return new InvalidMessageException(name + " is missing");
  }

  private List<Heartbeat.AttemptStatus> attempts() throws IOException, InvalidMessageException {
    if (parser.currentToken() != JsonToken.START_ARRAY) {
      throw new InvalidMessageException(ProtocolField.ATTEMPTS + " must be a list");
    }
    List<Heartbeat.AttemptStatus> statuses = new ArrayList<>();
    while (parser.nextToken() == JsonToken.START_OBJECT) {
      statuses.add(attemptStatus());
    }
    if (parser.currentToken() != JsonToken.END_ARRAY) {
      throw new InvalidMessageException(ProtocolField.ATTEMPTS + " must be a list of objects");
    }
    return statuses;
  }

  private Heartbeat.AttemptStatus attemptStatus() throws IOException, InvalidMessageException {
    TaskName task = null;
    long attempt = MISSING;
    AttemptState state = null;
    ExitCause cause = ExitCause.OTHER;
    boolean saved = false;
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      JsonToken token = parser.nextToken();
      switch (name) {
        case ProtocolField.TASK -> task = TaskName.of(text(name));
        case ProtocolField.ATTEMPT -> attempt = wholeNumber(name);
        case ProtocolField.STATUS -> state = AttemptState.of(text(name));
        case ProtocolField.EXIT_CAUSE -> {
          cause = ExitCause.of(token == JsonToken.VALUE_STRING ? parser.getText() : "");
          parser.skipChildren();
        }
        case ProtocolField.SAVED -> saved = token != JsonToken.VALUE_NULL && flag(name);
        default -> parser.skipChildren();
      }
    }
    return new Heartbeat.AttemptStatus(
        required(task, ProtocolField.TASK),
        required(attempt, ProtocolField.ATTEMPT),
        required(state, ProtocolField.STATUS),
        state == AttemptState.ENDED ? cause : null,
        saved);
  }

  private String text(String name) throws IOException, InvalidMessageException {
    String text = parser.currentToken() == JsonToken.VALUE_STRING ? parser.getText() : "";
    if (text.isEmpty() || text.length() > Json.MAX_TEXT_LENGTH) {
      throw new InvalidMessageException(
          name + " must be a text of 1 to " + Json.MAX_TEXT_LENGTH + " characters");
    }
    return text;
  }

  private boolean flag(String name) throws IOException, InvalidMessageException {
    if (!parser.currentToken().isBoolean()) {
      throw new InvalidMessageException(name + " must be true or false");
    }
    return parser.getBooleanValue();
  }

  private long wholeNumber(String name) throws IOException, InvalidMessageException {
    if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT
        || parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
        || parser.getLongValue() < 0) {
      throw new InvalidMessageException(
          name + " must be a whole number from 0 to " + Long.MAX_VALUE);
    }
    return parser.getLongValue();
  }

  private double amount(String name) throws IOException, InvalidMessageException {
    double amount = parser.currentToken().isNumeric() ? parser.getDoubleValue() : -1;
    if (!Json.isInRange(amount, 0)) {
      throw new InvalidMessageException(name + " must be an amount from 0");
    }
    return amount;
  }
}
