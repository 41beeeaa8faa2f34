package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.Json;
import plumlever.wire.ProtocolField;

/**
 * Guards against sound submissions that are refused, or become a second job, for their spelling.
 */
final class SubmissionSpellingTest {
  private static final String JOB =
      Json.write(TestJob.job("job-1").team("red").tasks(2).runS(5).build().toJson());

  private static final String TASK_COUNT = "\"" + ProtocolField.TASK_COUNT + "\":2";

  private SimulatedCluster cluster;
  private int status;

  @BeforeEach
  void startCluster() {
    cluster =
        new SimulatedCluster(
            1, 3, List.of(new PlatformConfiguration.Team("red", 4, 8, 0, 0)), true);
    cluster.runFor(5);
  }

  static List<String> spellings() {
    return List.of(
        JOB,
        JOB.replace("\"uid\":\"job-1\",", "").replace("}", ",\"uid\":\"job-1\"}"),
        JOB.replace("{", "{\"new\":{\"uid\":\"job-2\",\"list\":[[{}]]},"),
        JOB.replace("{", "{\"Uid\":\"job-2\",\"\":null,\"n\":1e300,\"t\":\"\\ud83d\\ude00\","),
        JOB.replace("\"job-1\"", "\"\\u006aob\\u002d1\""),
        JOB.replace("\"uid\"", "\"\\u0075id\""),
        JOB.replace(",", " ,\r\n\t").replace(":", " : ") + "\n\n",
        "\ufeff" + JOB,
        JOB.replace("1.0", "1").replace("0.0", "0").replace("5.0", "50E-1"),
        JOB.replace("1.0", "1.000").replace("5.0", "0.5e+1"),
        withNulls());
  }

  /** Returns the submission with null in place of each optional field that is missing. */
  private static String withNulls() {
    ObjectNode job = TestJob.job("job-1").team("red").tasks(2).runS(5).build().toJson();
    return Json.write(
        job.putNull(ProtocolField.MACHINE_TYPES)
            .putNull(ProtocolField.ZONE)
            .putNull(ProtocolField.DEADLINE_S));
  }

  private int send(String controller, String method, String path, String text) {
    status = 0;
    cluster
        .controllers
        .get(controller)
        .controller()
        .router()
        .handle(
            method, path, text.getBytes(StandardCharsets.UTF_8), (s, json, retry) -> status = s);
    for (int i = 0; i < 100 && status == 0; i++) {
      cluster.runFor(0.1);
    }
    return status;
  }

  private long acceptedJobs() {
    return cluster.controllers.values().stream()
        .mapToLong(controller -> controller.controller().metrics().counter("jobs_accepted"))
        .sum();
  }

  @ParameterizedTest
  @MethodSource("spellings")
  void aSpelledSubmissionIsAcceptedAndRecognizedByEveryController(String spelling) {
    assertEquals(201, send("n0", "POST", "/submissions", spelling));
    for (String controller : List.of("n1", "n2", "n0")) {
      assertEquals(200, send(controller, "POST", "/submissions", JOB));
      assertEquals(200, send(controller, "POST", "/submissions", spelling));
    }
    assertEquals(1, acceptedJobs());
    assertEquals(200, send("n1", "GET", "/submissions/job-1", ""));
    assertEquals(404, send("n1", "GET", "/submissions/job-2", ""));
  }

  @ParameterizedTest
  @MethodSource("spellings")
  void aRepetitionInAnotherSpellingIsTheSameJob(String spelling) {
    assertEquals(201, send("n1", "POST", "/submissions", JOB));
    cluster.leader().crash(1);
    cluster.runFor(12);
    for (String controller : List.of("n0", "n1", "n2")) {
      assertEquals(200, send(controller, "POST", "/submissions", spelling));
    }
  }

  @Test
  void aCountWrittenAsADecimalIsAccepted() {
    List<String> counts = List.of("2.0", "2e0", "20E-1");
    for (int i = 0; i < counts.size(); i++) {
      String job =
          JOB.replace("job-1", "job-" + (10 + i))
              .replace(TASK_COUNT, TASK_COUNT.replace("2", counts.get(i)));
      assertEquals(201, send("n0", "POST", "/submissions", job), counts.get(i));
      assertEquals(200, send("n1", "POST", "/submissions", job), counts.get(i));
    }
  }

  @Test
  void aCountWithAFractionIsRefused() {
    assertEquals(
        400, send("n0", "POST", "/submissions", JOB.replace(TASK_COUNT, TASK_COUNT + ".5")));
  }
}
