package plumlever.drill;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;

/**
 * A template for the jobs that a drill submits. A file of shapes has one submission per line. Each
 * job that is submitted from a shape gets an id of its own.
 *
 * @param submission the submission in the form that a user sends
 */
record JobShape(ObjectNode submission) {
  private static final String ARRAY =
      """
      {"uid":"job-1","jobclass":"regrid","owner":"first","shape":"sweep","urgency":"standard","pieces":24,
      "cores":1.0,"accelerators":0.0,"memory_gb":2.0,"bundle":"grid","image_gb":1.0,"flavors":null,"site":null,
      "one_zone":false,"spread":false,"loaners":true,"expect_s":8.0,"snapshot_every_s":5.0,"snapshot_s":1.0,"due_s":60.0}
      """;
  private static final String PLAN =
      """
      {"uid":"job-1","jobclass":"sort-plan","owner":"second","shape":"sweep","urgency":"high","pieces":6,
      "cores":2.0,"accelerators":0.0,"memory_gb":4.0,"bundle":"plan","image_gb":1.0,"flavors":null,"site":null,
      "one_zone":false,"spread":false,"loaners":true,"expect_s":25.0,"snapshot_every_s":0.0,"snapshot_s":0.0,"due_s":120.0}
      """;

  /** Returns the built-in shapes: a job of many short tasks and a job of a few long tasks. */
  static List<JobShape> builtIn() {
    try {
      return List.of(read(ARRAY), read(PLAN));
    } catch (InvalidMessageException e) {
      throw new IllegalStateException("invalid built-in job shape", e);
    }
  }

  /** Reads a file of shapes; each line that is not blank must be a valid submission. */
  static List<JobShape> load(Path file) throws IOException, InvalidMessageException {
    List<JobShape> shapes = new ArrayList<>();
    int line = 0;
    for (String text : Files.readAllLines(file)) {
      line++;
      if (!text.isBlank()) {
        try {
          shapes.add(read(text));
        } catch (InvalidMessageException e) {
          throw new InvalidMessageException(file + ": line " + line + ": " + e.getMessage());
        }
      }
    }
    if (shapes.isEmpty()) {
      throw new InvalidMessageException(file + ": contains no job shape");
    }
    return shapes;
  }

  private static JobShape read(String text) throws InvalidMessageException {
    ObjectNode submission = Json.parseObject(text);
    JobSpec.parse(submission);
    return new JobShape(submission);
  }

  String toSubmission(String uid) {
    return Json.write(submission.deepCopy().put("uid", uid));
  }

  int tasks() {
    return submission.path("pieces").asInt();
  }

  double totalCores() {
    return tasks() * submission.path("cores").asDouble();
  }

  String team() {
    return submission.path("owner").asText();
  }

  long runMicros() {
    return (long) (submission.path("expect_s").asDouble() * 1e6);
  }
}
