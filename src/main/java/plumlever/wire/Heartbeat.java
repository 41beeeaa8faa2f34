package plumlever.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * What a worker tells of itself: the body of a heartbeat, and of the answers of the direct calls.
 */
public record Heartbeat(
    String machineId,
    String endpoint,
    String machineType,
    String zone,
    boolean spot,
    long incarnation,
    long sequenceNumber,
    long fencingToken,
    double preemptionNoticeS,
    List<AttemptStatus> attempts) {

  /** A task on a machine. */
  public record AttemptStatus(
      TaskName task, long attempt, AttemptState state, ExitCause cause, boolean saved) {}

  /** Stands in {@code preemptionNoticeS} for a machine that nobody takes away. */
  public static final double NO_NOTICE = -1;

  /** True if any task is on the machine, in whatever state before its end. */
  public boolean holdsTasks() {
    for (AttemptStatus attemptStatus : attempts) {
      if (attemptStatus.state() != AttemptState.ENDED) {
        return true;
      }
    }
    return false;
  }

  public boolean noticed() {
    return preemptionNoticeS >= 0;
  }

  public boolean newerThan(long otherIncarnation, long otherSequenceNumber) {
    return incarnation > otherIncarnation
        || (incarnation == otherIncarnation && sequenceNumber > otherSequenceNumber);
  }

  /**
   * Read field by field: a leader takes hundreds a second, and nearly all of its JSON is in them.
   */
  public static Heartbeat parse(byte[] body) throws InvalidMessageException {
    try (JsonParser jsonParser = Json.parser(body)) {
      if (jsonParser.nextToken() != JsonToken.START_OBJECT) {
        throw new InvalidMessageException("not a JSON object");
      }
      Fields fields = new Fields();
      while (jsonParser.nextToken() == JsonToken.FIELD_NAME) {
        String name = jsonParser.currentName();
        JsonToken jsonToken = jsonParser.nextToken();
        switch (name) {
          case ProtocolField.MACHINE_ID -> fields.machineId = text(jsonParser, name);
          case ProtocolField.ENDPOINT -> fields.endpoint = text(jsonParser, name);
          case ProtocolField.MACHINE_TYPE -> fields.machineType = text(jsonParser, name);
          case ProtocolField.ZONE -> fields.zone = text(jsonParser, name);
          case ProtocolField.SPOT -> fields.spot = flag(jsonParser, name);
          case ProtocolField.INCARNATION -> fields.incarnation = whole(jsonParser, name);
          case ProtocolField.SEQUENCE_NUMBER -> fields.sequenceNumber = whole(jsonParser, name);
          case ProtocolField.FENCING_TOKEN -> fields.fencingToken = whole(jsonParser, name);
          case ProtocolField.PREEMPTION_NOTICE_S ->
              fields.preemptionNoticeS =
                  jsonToken == JsonToken.VALUE_NULL ? NO_NOTICE : amount(jsonParser, name);
          case ProtocolField.ATTEMPTS ->
              fields.attempts =
                  jsonToken == JsonToken.VALUE_NULL ? List.of() : attempts(jsonParser);
          default -> jsonParser.skipChildren();
        }
      }
      if (jsonParser.currentToken() != JsonToken.END_OBJECT || jsonParser.nextToken() != null) {
        throw new InvalidMessageException("not JSON");
      }
      return fields.heartbeat();
    } catch (IOException e) {
      throw new InvalidMessageException("not JSON");
    }
  }

  /** What has been read of a heartbeat so far. */
  private static final class Fields {
    private String machineId;
    private String endpoint;
    private String machineType;
    private String zone;
    private Boolean spot;
    private long incarnation = -1;
    private long sequenceNumber = -1;
    private long fencingToken = -1;
    private double preemptionNoticeS = NO_NOTICE;
    private List<AttemptStatus> attempts = List.of();

    Heartbeat heartbeat() throws InvalidMessageException {
      return new Heartbeat(
          needed(machineId, ProtocolField.MACHINE_ID),
          needed(endpoint, ProtocolField.ENDPOINT),
          needed(machineType, ProtocolField.MACHINE_TYPE),
          needed(zone, ProtocolField.ZONE),
          needed(spot, ProtocolField.SPOT),
          needed(incarnation, ProtocolField.INCARNATION),
          needed(sequenceNumber, ProtocolField.SEQUENCE_NUMBER),
          needed(fencingToken, ProtocolField.FENCING_TOKEN),
          preemptionNoticeS,
          attempts);
    }
  }

  private static <T> T needed(T value, String name) throws InvalidMessageException {
    if (value == null) {
      throw new InvalidMessageException(name + " is missing");
    }
    return value;
  }

  private static long needed(long value, String name) throws InvalidMessageException {
    if (value < 0) {
      throw new InvalidMessageException(name + " is missing");
    }
    return value;
  }

  private static List<AttemptStatus> attempts(JsonParser jsonParser)
      throws IOException, InvalidMessageException {
    if (jsonParser.currentToken() != JsonToken.START_ARRAY) {
      throw new InvalidMessageException(ProtocolField.ATTEMPTS + " must be a list");
    }
    List<AttemptStatus> attempts = new ArrayList<>();
    while (jsonParser.nextToken() == JsonToken.START_OBJECT) {
      attempts.add(attemptStatus(jsonParser));
    }
    if (jsonParser.currentToken() != JsonToken.END_ARRAY) {
      throw new InvalidMessageException(ProtocolField.ATTEMPTS + " must be a list of objects");
    }
    return attempts;
  }

  private static AttemptStatus attemptStatus(JsonParser jsonParser)
      throws IOException, InvalidMessageException {
    TaskName task = null;
    long attempt = -1;
    AttemptState status = null;
    ExitCause cause = ExitCause.OTHER;
    boolean saved = false;
    while (jsonParser.nextToken() == JsonToken.FIELD_NAME) {
      String name = jsonParser.currentName();
      JsonToken jsonToken = jsonParser.nextToken();
      switch (name) {
        case ProtocolField.TASK -> task = TaskName.of(text(jsonParser, name));
        case ProtocolField.ATTEMPT -> attempt = whole(jsonParser, name);
        case ProtocolField.STATUS -> status = AttemptState.of(text(jsonParser, name));
        case "exit_cause" -> {
          cause = ExitCause.of(jsonToken == JsonToken.VALUE_STRING ? jsonParser.getText() : "");
          jsonParser.skipChildren();
        }
        case "saved" -> saved = jsonToken != JsonToken.VALUE_NULL && flag(jsonParser, name);
        default -> jsonParser.skipChildren();
      }
    }
    return new AttemptStatus(
        needed(task, ProtocolField.TASK),
        needed(attempt, ProtocolField.ATTEMPT),
        needed(status, ProtocolField.STATUS),
        status == AttemptState.ENDED ? cause : null,
        saved);
  }

  private static String text(JsonParser jsonParser, String name)
      throws IOException, InvalidMessageException {
    String text = jsonParser.currentToken() == JsonToken.VALUE_STRING ? jsonParser.getText() : "";
    if (text.isEmpty() || text.length() > Json.MOST_TEXT) {
      throw new InvalidMessageException(
          name + " must be a text of 1 to " + Json.MOST_TEXT + " characters");
    }
    return text;
  }

  private static boolean flag(JsonParser jsonParser, String name)
      throws IOException, InvalidMessageException {
    if (!jsonParser.currentToken().isBoolean()) {
      throw new InvalidMessageException(name + " must be true or false");
    }
    return jsonParser.getBooleanValue();
  }

  private static long whole(JsonParser jsonParser, String name)
      throws IOException, InvalidMessageException {
    if (jsonParser.currentToken() != JsonToken.VALUE_NUMBER_INT
        || jsonParser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
        || jsonParser.getLongValue() < 0) {
      throw new InvalidMessageException(
          name + " must be a whole number from 0 to " + Long.MAX_VALUE);
    }
    return jsonParser.getLongValue();
  }

  private static double amount(JsonParser jsonParser, String name)
      throws IOException, InvalidMessageException {
    double amount = jsonParser.currentToken().isNumeric() ? jsonParser.getDoubleValue() : -1;
    if (!Json.inRange(amount, 0)) {
      throw new InvalidMessageException(name + " must be an amount from 0");
    }
    return amount;
  }
}
