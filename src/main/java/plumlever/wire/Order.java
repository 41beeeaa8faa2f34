package plumlever.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** A command to a worker. */
public record Order(Verb verb, TaskName task, long attempt, double windDownS) {
    /** Commands, by their names on the wire. */
    public enum Verb {
        RUN("run"), HALT("halt"), REAP("reap");

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

    /** The body of an answer to a report. */
    public static String answer(long token, List<Order> orders) {
        return body(token, 0, orders);
    }

    /** The body of a direct call, for one session of the worker. */
    public static String direct(long token, long tenure, List<Order> orders) {
        return body(token, tenure, orders);
    }

    private static String body(long token, long tenure, List<Order> orders) {
        ObjectNode body = Json.object();
        body.put("baton", token);
        if (tenure > 0) {
            body.put("tenure", tenure);
        }
        ArrayNode array = body.putArray("orders");
        for (Order o : orders) {
            ObjectNode n = array.addObject();
            n.put("verb", o.verb.wireName);
            n.put("piece", o.task.wireName());
            n.put("try", o.attempt);
            if (o.verb == Verb.HALT) {
                n.put("wind_down_s", o.windDownS);
            }
        }
        return Json.write(body);
    }
}
