package plumlever.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** What a worker tells of itself: the body of a report, and of the answers of the direct calls. */
public record WorkerReport(
    String host,
    String endpoint,
    String flavor,
    String site,
    boolean loaners,
    long tenure,
    long tick,
    long baton,
    double reclaimInS,
    List<Piece> pieces) {

  /** A task on a machine. */
  public record Piece(
      TaskName task, long attempt, TaskStatus status, ExitCause cause, boolean saved) {}

  /** Stands in {@code reclaimInS} for a machine that nobody takes away. */
  public static final double NO_NOTICE = -1;

  /** True if any task is on the machine, in whatever state before its end. */
  public boolean holdsTasks() {
    for (Piece p : pieces) {
      if (p.status() != TaskStatus.ENDED) {
        return true;
      }
    }
    return false;
  }

  public boolean noticed() {
    return reclaimInS >= 0;
  }

  public boolean newerThan(long otherTenure, long otherTick) {
    return tenure > otherTenure || (tenure == otherTenure && tick > otherTick);
  }

  /**
   * Read field by field: a leader takes hundreds a second, and nearly all of its JSON is in them.
   */
  public static WorkerReport parse(byte[] body) throws InvalidMessage {
    try (JsonParser p = Json.parser(body)) {
      if (p.nextToken() != JsonToken.START_OBJECT) {
        throw new InvalidMessage("not a JSON object");
      }
      Fields f = new Fields();
      while (p.nextToken() == JsonToken.FIELD_NAME) {
        String name = p.currentName();
        JsonToken t = p.nextToken();
        switch (name) {
          case "host" -> f.host = text(p, name);
          case "endpoint" -> f.endpoint = text(p, name);
          case "flavor" -> f.flavor = text(p, name);
          case "site" -> f.site = text(p, name);
          case "loaners" -> f.loaners = flag(p, name);
          case "tenure" -> f.tenure = whole(p, name);
          case "tick" -> f.tick = whole(p, name);
          case "baton" -> f.baton = whole(p, name);
          case "reclaim_in_s" ->
              f.reclaimInS = t == JsonToken.VALUE_NULL ? NO_NOTICE : amount(p, name);
          case "pieces" -> f.pieces = t == JsonToken.VALUE_NULL ? List.of() : pieces(p);
          default -> p.skipChildren();
        }
      }
      if (p.currentToken() != JsonToken.END_OBJECT || p.nextToken() != null) {
        throw new InvalidMessage("not JSON");
      }
      return f.report();
    } catch (IOException e) {
      throw new InvalidMessage("not JSON");
    }
  }

  /** What has been read of a report so far. */
  private static final class Fields {
    private String host;
    private String endpoint;
    private String flavor;
    private String site;
    private Boolean loaners;
    private long tenure = -1;
    private long tick = -1;
    private long baton = -1;
    private double reclaimInS = NO_NOTICE;
    private List<Piece> pieces = List.of();

    WorkerReport report() throws InvalidMessage {
      return new WorkerReport(
          needed(host, "host"),
          needed(endpoint, "endpoint"),
          needed(flavor, "flavor"),
          needed(site, "site"),
          needed(loaners, "loaners"),
          needed(tenure, "tenure"),
          needed(tick, "tick"),
          needed(baton, "baton"),
          reclaimInS,
          pieces);
    }
  }

  private static <T> T needed(T value, String name) throws InvalidMessage {
    if (value == null) {
      throw new InvalidMessage(name + " is missing");
    }
    return value;
  }

  private static long needed(long value, String name) throws InvalidMessage {
    if (value < 0) {
      throw new InvalidMessage(name + " is missing");
    }
    return value;
  }

  private static List<Piece> pieces(JsonParser p) throws IOException, InvalidMessage {
    if (p.currentToken() != JsonToken.START_ARRAY) {
      throw new InvalidMessage("pieces must be a list");
    }
    List<Piece> pieces = new ArrayList<>();
    while (p.nextToken() == JsonToken.START_OBJECT) {
      pieces.add(piece(p));
    }
    if (p.currentToken() != JsonToken.END_ARRAY) {
      throw new InvalidMessage("pieces must be a list of objects");
    }
    return pieces;
  }

  private static Piece piece(JsonParser p) throws IOException, InvalidMessage {
    TaskName task = null;
    long attempt = -1;
    TaskStatus status = null;
    ExitCause cause = ExitCause.OTHER;
    boolean saved = false;
    while (p.nextToken() == JsonToken.FIELD_NAME) {
      String name = p.currentName();
      JsonToken t = p.nextToken();
      switch (name) {
        case "piece" -> task = TaskName.of(text(p, name));
        case "try" -> attempt = whole(p, name);
        case "status" -> status = TaskStatus.of(text(p, name));
        case "exit_cause" -> {
          cause = ExitCause.of(t == JsonToken.VALUE_STRING ? p.getText() : "");
          p.skipChildren();
        }
        case "saved" -> saved = t != JsonToken.VALUE_NULL && flag(p, name);
        default -> p.skipChildren();
      }
    }
    return new Piece(
        needed(task, "piece"),
        needed(attempt, "try"),
        needed(status, "status"),
        status == TaskStatus.ENDED ? cause : null,
        saved);
  }

  private static String text(JsonParser p, String name) throws IOException, InvalidMessage {
    String s = p.currentToken() == JsonToken.VALUE_STRING ? p.getText() : "";
    if (s.isEmpty() || s.length() > Json.MOST_TEXT) {
      throw new InvalidMessage(name + " must be a text of 1 to " + Json.MOST_TEXT + " characters");
    }
    return s;
  }

  private static boolean flag(JsonParser p, String name) throws IOException, InvalidMessage {
    if (!p.currentToken().isBoolean()) {
      throw new InvalidMessage(name + " must be true or false");
    }
    return p.getBooleanValue();
  }

  private static long whole(JsonParser p, String name) throws IOException, InvalidMessage {
    if (p.currentToken() != JsonToken.VALUE_NUMBER_INT
        || p.getNumberType() == JsonParser.NumberType.BIG_INTEGER
        || p.getLongValue() < 0) {
      throw new InvalidMessage(name + " must be a whole number from 0 to " + Long.MAX_VALUE);
    }
    return p.getLongValue();
  }

  private static double amount(JsonParser p, String name) throws IOException, InvalidMessage {
    double d = p.currentToken().isNumeric() ? p.getDoubleValue() : -1;
    if (!Json.inRange(d, 0)) {
      throw new InvalidMessage(name + " must be an amount from 0");
    }
    return d;
  }
}
