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

  public boolean hasPreemptionNotice() {
    return preemptionNoticeS >= 0;
  }

  public boolean isNewerThan(long otherIncarnation, long otherSequenceNumber) {
    return incarnation > otherIncarnation
        || (incarnation == otherIncarnation && sequenceNumber > otherSequenceNumber);
  }

  /**
   * Read field by field: a leader takes hundreds a second, and nearly all of its JSON is in them.
   */
  public static Heartbeat parse(byte[] body) throws InvalidMessageException {
    try (JsonParser parser = Json.parser(body)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new InvalidMessageException("not a JSON object");
      }
      Fields fields = new Fields();
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String name = parser.currentName();
        JsonToken token = parser.nextToken();
        switch (name) {
          case ProtocolField.MACHINE_ID -> fields.machineId = text(parser, name);
          case ProtocolField.ENDPOINT -> fields.endpoint = text(parser, name);
          case ProtocolField.MACHINE_TYPE -> fields.machineType = text(parser, name);
          case ProtocolField.ZONE -> fields.zone = text(parser, name);
          case ProtocolField.SPOT -> fields.spot = flag(parser, name);
          case ProtocolField.INCARNATION -> fields.incarnation = whole(parser, name);
          case ProtocolField.SEQUENCE_NUMBER -> fields.sequenceNumber = whole(parser, name);
          case ProtocolField.FENCING_TOKEN -> fields.fencingToken = whole(parser, name);
          case ProtocolField.PREEMPTION_NOTICE_S ->
              fields.preemptionNoticeS =
                  token == JsonToken.VALUE_NULL ? NO_NOTICE : amount(parser, name);
          case ProtocolField.ATTEMPTS ->
              fields.attempts = token == JsonToken.VALUE_NULL ? List.of() : attempts(parser);
          default -> parser.skipChildren();
        }
      }
      if (parser.currentToken() != JsonToken.END_OBJECT || parser.nextToken() != null) {
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
  }

  private static <T> T required(T value, String name) throws InvalidMessageException {
    if (value == null) {
      throw new InvalidMessageException(name + " is missing");
    }
    return value;
  }

  private static long required(long value, String name) throws InvalidMessageException {
    if (value < 0) {
      throw new InvalidMessageException(name + " is missing");
    }
    return value;
  }

  private static List<AttemptStatus> attempts(JsonParser parser)
      throws IOException, InvalidMessageException {
    if (parser.currentToken() != JsonToken.START_ARRAY) {
      throw new InvalidMessageException(ProtocolField.ATTEMPTS + " must be a list");
    }
    List<AttemptStatus> attempts = new ArrayList<>();
    while (parser.nextToken() == JsonToken.START_OBJECT) {
      attempts.add(attemptStatus(parser));
    }
    if (parser.currentToken() != JsonToken.END_ARRAY) {
      throw new InvalidMessageException(ProtocolField.ATTEMPTS + " must be a list of objects");
    }
    return attempts;
  }

  private static AttemptStatus attemptStatus(JsonParser parser)
      throws IOException, InvalidMessageException {
    TaskName task = null;
    long attempt = -1;
    AttemptState status = null;
    ExitCause cause = ExitCause.OTHER;
    boolean saved = false;
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      JsonToken token = parser.nextToken();
      switch (name) {
        case ProtocolField.TASK -> task = TaskName.of(text(parser, name));
        case ProtocolField.ATTEMPT -> attempt = whole(parser, name);
        case ProtocolField.STATUS -> status = AttemptState.of(text(parser, name));
        case "exit_cause" -> {
          cause = ExitCause.of(token == JsonToken.VALUE_STRING ? parser.getText() : "");
          parser.skipChildren();
        }
        case "saved" -> saved = token != JsonToken.VALUE_NULL && flag(parser, name);
        default -> parser.skipChildren();
      }
    }
    return new AttemptStatus(
        required(task, ProtocolField.TASK),
        required(attempt, ProtocolField.ATTEMPT),
        required(status, ProtocolField.STATUS),
        status == AttemptState.ENDED ? cause : null,
        saved);
  }

  private static String text(JsonParser parser, String name)
      throws IOException, InvalidMessageException {
    String text = parser.currentToken() == JsonToken.VALUE_STRING ? parser.getText() : "";
    if (text.isEmpty() || text.length() > Json.MAX_TEXT_LENGTH) {
      throw new InvalidMessageException(
          name + " must be a text of 1 to " + Json.MAX_TEXT_LENGTH + " characters");
    }
    return text;
  }

  private static boolean flag(JsonParser parser, String name)
      throws IOException, InvalidMessageException {
    if (!parser.currentToken().isBoolean()) {
      throw new InvalidMessageException(name + " must be true or false");
    }
    return parser.getBooleanValue();
  }

  private static long whole(JsonParser parser, String name)
      throws IOException, InvalidMessageException {
    if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT
        || parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
        || parser.getLongValue() < 0) {
      throw new InvalidMessageException(
          name + " must be a whole number from 0 to " + Long.MAX_VALUE);
    }
    return parser.getLongValue();
  }

  private static double amount(JsonParser parser, String name)
      throws IOException, InvalidMessageException {
    double amount = parser.currentToken().isNumeric() ? parser.getDoubleValue() : -1;
    if (!Json.inRange(amount, 0)) {
      throw new InvalidMessageException(name + " must be an amount from 0");
    }
    return amount;
  }
}
