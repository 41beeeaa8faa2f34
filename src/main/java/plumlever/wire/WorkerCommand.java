package plumlever.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A command to a worker.
 *
 * @param attempt the number of the attempt that the command applies to
 * @param gracePeriodS the time in seconds that the attempt has to save its work before the worker
 *     ends the attempt; used only by {@link CommandType#STOP}
 */
public record WorkerCommand(CommandType type, TaskName task, long attempt, double gracePeriodS) {
  private static final int INITIAL_CAPACITY = 64;

  /** The action that the worker performs on an attempt. */
  public enum CommandType {
    /** Starts the attempt. */
    RUN("run"),
    /** Lets the attempt save its work for up to the grace period, then ends the attempt. */
    STOP("halt"),
    /** Removes an ended attempt from the worker's heartbeats. */
    REMOVE("reap");

    private final String wireName;

    CommandType(String wireName) {
      this.wireName = wireName;
    }

    private static CommandType of(String name) throws InvalidMessageException {
      for (CommandType type : values()) {
        if (type.wireName.equals(name)) {
          return type;
        }
      }
      throw new InvalidMessageException(ProtocolField.COMMAND_TYPE + " is unknown: " + name);
    }
  }

  /** A command that starts an attempt. */
  public static WorkerCommand run(TaskName task, long attempt) {
    return new WorkerCommand(CommandType.RUN, task, attempt, 0);
  }

  /** A command that stops an attempt after the grace period at the latest. */
  public static WorkerCommand stop(TaskName task, long attempt, double gracePeriodS) {
    return new WorkerCommand(CommandType.STOP, task, attempt, gracePeriodS);
  }

  /** A command that removes an ended attempt. */
  public static WorkerCommand remove(TaskName task, long attempt) {
    return new WorkerCommand(CommandType.REMOVE, task, attempt, 0);
  }

  /**
   * Returns the body of the response to a relayed heartbeat. The response goes to the shard that
   * relayed the heartbeat, not to a worker, so its fencing token is 0.
   */
  public static String relayedResponse(List<WorkerCommand> commands) {
    return body(0, 0, commands);
  }

  /** The body of the response to a heartbeat; the response renews the worker's lease. */
  public static String heartbeatResponse(long token, List<WorkerCommand> commands) {
    return body(token, 0, commands);
  }

  /**
   * The body of a direct call (a call from the leader to the worker). The commands are valid only
   * in this incarnation of the worker, which ends when the worker's lease expires.
   */
  public static String directCall(long token, long incarnation, List<WorkerCommand> commands) {
    return body(token, incarnation, commands);
  }

  /**
   * Parses the commands in the response to a heartbeat.
   *
   * @param body the message body: JSON in UTF-8
   */
  public static List<WorkerCommand> parseResponse(byte[] body) throws InvalidMessageException {
    List<WorkerCommand> commands = new ArrayList<>();
    for (JsonNode node : Json.parseObject(body).path(ProtocolField.COMMANDS)) {
      TaskName task = TaskName.of(Json.text(node, ProtocolField.TASK));
      long attempt = Json.wholeNumber(node, ProtocolField.ATTEMPT, 0, Long.MAX_VALUE);
      CommandType type = CommandType.of(Json.text(node, ProtocolField.COMMAND_TYPE));
      double gracePeriodS =
          type == CommandType.STOP ? Json.amount(node, ProtocolField.GRACE_PERIOD_S, 0) : 0;
      commands.add(new WorkerCommand(type, task, attempt, gracePeriodS));
    }
    return commands;
  }

  private static String body(long token, long incarnation, List<WorkerCommand> commands) {
    StringWriter out = new StringWriter(INITIAL_CAPACITY);
    try (JsonGenerator generator = Json.generator(out)) {
      generator.writeStartObject();
      generator.writeNumberField(ProtocolField.FENCING_TOKEN, token);
      if (incarnation > 0) {
        generator.writeNumberField(ProtocolField.INCARNATION, incarnation);
      }
      generator.writeArrayFieldStart(ProtocolField.COMMANDS);
      for (WorkerCommand command : commands) {
        command.write(generator);
      }
      generator.writeEndArray();
      generator.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot serialize worker commands", e);
    }
    return out.toString();
  }

  private void write(JsonGenerator generator) throws IOException {
    generator.writeStartObject();
    generator.writeStringField(ProtocolField.COMMAND_TYPE, type.wireName);
    generator.writeStringField(ProtocolField.TASK, task.wireName());
    generator.writeNumberField(ProtocolField.ATTEMPT, attempt);
    if (type == CommandType.STOP) {
      generator.writeNumberField(ProtocolField.GRACE_PERIOD_S, gracePeriodS);
    }
    generator.writeEndObject();
  }
}
