package plumlever.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;

/** A command to a worker. */
public record WorkerCommand(CommandType type, TaskName task, long attempt, double gracePeriodS) {
  private static final int USUAL_LETTERS = 64;

  /** Commands, by their names on the wire. */
  public enum CommandType {
    RUN("run"),
    STOP("halt"),
    REMOVE("reap");

    private final String wireName;

    CommandType(String wireName) {
      this.wireName = wireName;
    }
  }

  public static WorkerCommand run(TaskName task, long attempt) {
    return new WorkerCommand(CommandType.RUN, task, attempt, 0);
  }

  public static WorkerCommand stop(TaskName task, long attempt, double gracePeriodS) {
    return new WorkerCommand(CommandType.STOP, task, attempt, gracePeriodS);
  }

  public static WorkerCommand remove(TaskName task, long attempt) {
    return new WorkerCommand(CommandType.REMOVE, task, attempt, 0);
  }

  /** The body of an answer to what another cell has passed on; it goes to no worker. */
  public static String relayed(List<WorkerCommand> commands) {
    return body(0, 0, commands);
  }

  /** The body of an answer to a heartbeat: it renews the worker's lease. */
  public static String answer(long token, List<WorkerCommand> commands) {
    return body(token, 0, commands);
  }

  /** The body of a direct call, for one incarnation of the worker. */
  public static String direct(long token, long incarnation, List<WorkerCommand> commands) {
    return body(token, incarnation, commands);
  }

  /** The commands that an answer holds. */
  public static List<WorkerCommand> parseAnswer(byte[] body) throws InvalidMessageException {
    List<WorkerCommand> commands = new ArrayList<>();
    for (JsonNode node : Json.parseObject(body).path(ProtocolField.COMMANDS)) {
      TaskName task = TaskName.of(Json.text(node, ProtocolField.TASK));
      long attempt = Json.whole(node, ProtocolField.ATTEMPT, 0, Long.MAX_VALUE);
      String type = Json.text(node, ProtocolField.COMMAND_TYPE);
      if (type.equals(CommandType.STOP.wireName)) {
        commands.add(stop(task, attempt, Json.amount(node, ProtocolField.GRACE_PERIOD_S, 0)));
      } else if (type.equals(CommandType.REMOVE.wireName)) {
        commands.add(remove(task, attempt));
      } else if (type.equals(CommandType.RUN.wireName)) {
        commands.add(run(task, attempt));
      } else {
        throw new InvalidMessageException(ProtocolField.COMMAND_TYPE + " is unknown: " + type);
      }
    }
    return commands;
  }

  private static String body(long token, long incarnation, List<WorkerCommand> commands) {
    StringWriter out = new StringWriter(USUAL_LETTERS);
    try (JsonGenerator generator = Json.generator(out)) {
      generator.writeStartObject();
      generator.writeNumberField(ProtocolField.FENCING_TOKEN, token);
      if (incarnation > 0) {
        generator.writeNumberField(ProtocolField.INCARNATION, incarnation);
      }
      generator.writeArrayFieldStart(ProtocolField.COMMANDS);
      for (WorkerCommand command : commands) {
        generator.writeStartObject();
        generator.writeStringField(ProtocolField.COMMAND_TYPE, command.type.wireName);
        generator.writeStringField(ProtocolField.TASK, command.task.wireName());
        generator.writeNumberField(ProtocolField.ATTEMPT, command.attempt);
        if (command.type == CommandType.STOP) {
          generator.writeNumberField(ProtocolField.GRACE_PERIOD_S, command.gracePeriodS);
        }
        generator.writeEndObject();
      }
      generator.writeEndArray();
      generator.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException("plain values could not be written to memory", e);
    }
    return out.toString();
  }
}
