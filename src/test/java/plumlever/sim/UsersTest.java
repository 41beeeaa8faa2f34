package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import plumlever.settings.PlatformConfiguration;

/** Tests the responses to users, in normal operation and during outages. */
final class UsersTest {
  private static final String JOB =
      "{\"uid\":\"job-1\",\"jobclass\":\"c\",\"owner\":\"red\",\"shape\":\"sweep\","
          + "\"urgency\":\"high\",\"pieces\":2,\"cores\":1.0,\"accelerators\":0,\"memory_gb\":1.0,\"bundle\":\"i\","
          + "\"image_gb\":1.0,\"one_zone\":false,\"spread\":false,\"loaners\":true,\"expect_s\":5.0,"
          + "\"snapshot_every_s\":0,\"snapshot_s\":0}";

  private SimulatedCluster cluster;
  private int status;
  private String body;
  private int retryAfter;
  private long tookMicros;

  @BeforeEach
  void startCluster() {
    cluster =
        new SimulatedCluster(
            1, 3, List.of(new PlatformConfiguration.Team("red", 4, 8, 0, 0)), true);
    cluster.runFor(5);
  }

  private int send(String method, String path, String text) {
    status = 0;
    long from = cluster.now();
    cluster
        .controllers
        .get("n0")
        .controller()
        .router()
        .handle(
            method,
            path,
            text == null ? new byte[0] : text.getBytes(StandardCharsets.UTF_8),
            (s, json, retry) -> {
              status = s;
              body = json;
              retryAfter = retry;
              tookMicros = cluster.now() - from;
            });
    for (int i = 0; i < 100 && status == 0; i++) {
      cluster.runFor(0.1);
    }
    return status;
  }

  @Test
  void acceptsAJobOnceAndRecognizesRepeatedSubmissions() {
    assertEquals(201, send("POST", "/submissions", JOB));
    assertEquals(200, send("POST", "/submissions", JOB));
    assertEquals(200, send("POST", "/submissions", JOB.replace("\"pieces\":2", "\"pieces\":0")));
    assertEquals(
        200,
        send("POST", "/submissions", JOB.replace("\"owner\":\"red\"", "\"owner\":\"nobody\"")));
    assertEquals(200, send("GET", "/submissions/job-1", null));
    assertTrue(body.contains("\"status\":\"pending\""), body);
  }

  @Test
  void refusesInvalidRequestsAndJobsThatCanNeverRun() {
    assertEquals(400, send("POST", "/submissions", "{"));
    assertEquals(400, send("POST", "/submissions", JOB.replace("\"pieces\":2", "\"pieces\":0")));
    assertEquals(
        422,
        send("POST", "/submissions", JOB.replace("\"owner\":\"red\"", "\"owner\":\"nobody\"")));
    assertEquals(422, send("POST", "/submissions", JOB.replace("\"cores\":1.0", "\"cores\":9.0")));
    assertEquals(
        422, send("POST", "/submissions", JOB.replace("\"memory_gb\":1.0", "\"memory_gb\":900.0")));
    assertEquals(404, send("GET", "/submissions/job-1", null));
    assertEquals(404, send("POST", "/submissions/job-1/abort", ""));
    assertEquals(404, send("GET", "/nothing", null));
    assertEquals(405, send("GET", "/submissions", null));
    assertEquals(200, send("GET", "/up", null));
  }

  @Test
  void aCancellationIsFinal() {
    cluster.invariants.submitted.put("job-1", null);
    send("POST", "/submissions", JOB);
    assertEquals(200, send("POST", "/submissions/job-1/abort", ""));
    assertTrue(body.contains("aborted"), body);
    assertEquals(200, send("POST", "/submissions", JOB));
    assertTrue(body.contains("aborted"), body);
    cluster.runFor(30);
    assertEquals(200, send("GET", "/submissions/job-1", null));
    assertTrue(body.contains("aborted"), body);
  }

  @Test
  void anOutageIsAnsweredAtOnceWithARetryTime() {
    cluster.store.outage = true;
    for (String[] request :
        new String[][] {
          {"POST", "/submissions", JOB},
          {"GET", "/submissions/job-1", null},
          {"POST", "/submissions/job-1/abort", ""}
        }) {
      assertEquals(503, send(request[0], request[1], request[2]));
      assertTrue(retryAfter > 0, "Retry-After must be set");
      assertTrue(tookMicros < 100_000, "answered within 100 ms, took (µs): " + tookMicros);
    }
    assertEquals(
        200,
        send("GET", "/up", null),
        "an outage that affects all controllers must make none unhealthy");
  }

  /**
   * The state service applies the transaction that accepts a job, but the response is lost. The
   * controller must read the job record to find out whether the job was accepted.
   */
  @Test
  void anUnansweredAcceptanceIsResolvedByReadingTheJobRecord() {
    cluster.network.blockedLinks.put("state>n0", true);
    assertEquals(503, send("POST", "/submissions", JOB));
    cluster.network.blockedLinks.clear();
    cluster.runFor(3);
    assertEquals(200, send("GET", "/submissions/job-1", null));
    assertEquals(200, send("POST", "/submissions", JOB));
  }

  /**
   * A follower without user requests sends few requests to the state service. The low traffic must
   * not make the follower report itself unhealthy.
   */
  @Test
  void aControllerWithoutRequestsStaysHealthy() {
    for (int i = 0; i < 100; i++) {
      for (SimulatedController controller : cluster.controllers.values()) {
        controller
            .controller()
            .router()
            .handle("GET", "/up", new byte[0], (s, json, retry) -> assertEquals(200, s));
      }
      cluster.runFor(0.3);
    }
  }

  /**
   * The state service refuses the requests of only one controller. The controller must report
   * itself unhealthy, so that users connect to another controller.
   */
  @Test
  void aControllerRefusedAloneIsUnhealthy() {
    cluster.store.refusedControllers.add("n0");
    cluster.runFor(5);
    assertEquals(503, send("GET", "/up", null));
    cluster.store.refusedControllers.clear();
    cluster.runFor(3);
    assertEquals(200, send("GET", "/up", null));
  }
}
