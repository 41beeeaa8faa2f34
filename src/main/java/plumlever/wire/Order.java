package plumlever.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;

/** A command to a worker. */
public record Order(Verb verb, TaskName task, long attempt, double windDownS) {
  private static final int USUAL_LETTERS = 64;

  /** Commands, by their names on the wire. */
  public enum Verb {
    RUN("run"),
    HALT("halt"),
    REAP("reap");

    private final String wireName;

    Verb(String wireName) {
      this.wireName = wireName;
    }
  }

  public static Order run(TaskName task, long attempt) {
    return new Order(Verb.RUN, task, attempt, 0);
  }

  public static Order halt(TaskName task, long attempt, double windDownS) {
    return new Order(Verb.HALT, task, attempt, windDownS);
  }

  public static Order reap(TaskName task, long attempt) {
    return new Order(Verb.REAP, task, attempt, 0);
  }

  /** The body of an answer to what another cell has passed on; it goes to no worker. */
  public static String relayed(List<Order> orders) {
    return body(0, 0, orders);
  }

  /** The body of an answer to a heartbeat: it renews the worker's lease. */
  public static String answer(long token, List<Order> orders) {
    return body(token, 0, orders);
  }

  /** The body of a direct call, for one incarnation of the worker. */
  public static String direct(long token, long incarnation, List<Order> orders) {
    return body(token, incarnation, orders);
  }

  /** The commands that an answer holds. */
  public static List<Order> parseAnswer(byte[] body) throws InvalidMessage {
    List<Order> orders = new ArrayList<>();
    for (JsonNode node : Json.parseObject(body).path("orders")) {
      TaskName task = TaskName.of(Json.text(node, "piece"));
      long attempt = Json.whole(node, "try", 0, Long.MAX_VALUE);
      String verb = Json.text(node, "verb");
      if (verb.equals(Verb.HALT.wireName)) {
        orders.add(halt(task, attempt, Json.amount(node, "wind_down_s", 0)));
      } else if (verb.equals(Verb.REAP.wireName)) {
        orders.add(reap(task, attempt));
      } else if (verb.equals(Verb.RUN.wireName)) {
        orders.add(run(task, attempt));
      } else {
        throw new InvalidMessage("verb is unknown: " + verb);
      }
    }
    return orders;
  }

  private static String body(long token, long incarnation, List<Order> orders) {
    StringWriter out = new StringWriter(USUAL_LETTERS);
    try (JsonGenerator jsonGenerator = Json.generator(out)) {
      jsonGenerator.writeStartObject();
      jsonGenerator.writeNumberField("baton", token);
      if (incarnation > 0) {
        jsonGenerator.writeNumberField("tenure", incarnation);
      }
      jsonGenerator.writeArrayFieldStart("orders");
      for (Order order : orders) {
        jsonGenerator.writeStartObject();
        jsonGenerator.writeStringField("verb", order.verb.wireName);
        jsonGenerator.writeStringField("piece", order.task.wireName());
        jsonGenerator.writeNumberField("try", order.attempt);
        if (order.verb == Verb.HALT) {
          jsonGenerator.writeNumberField("wind_down_s", order.windDownS);
        }
        jsonGenerator.writeEndObject();
      }
      jsonGenerator.writeEndArray();
      jsonGenerator.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException("plain values could not be written to memory", e);
    }
    return out.toString();
  }
}
