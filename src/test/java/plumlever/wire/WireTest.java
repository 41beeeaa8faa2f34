package plumlever.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Messages: what is read, and what is refused. */
final class WireTest {
  static final String GOOD =
      "{\"uid\":\"job-000412\",\"jobclass\":\"train\",\"owner\":\"vision\",\"shape\":\"sweep\","
          + "\"urgency\":\"high\",\"pieces\":16,\"cores\":8.0,\"accelerators\":1.0,\"memory_gb\":64.0,\"bundle\":\"img-07\","
          + "\"image_gb\":6.2,\"flavors\":[\"g8\"],\"site\":null,\"one_zone\":true,\"spread\":false,\"loaners\":true,"
          + "\"expect_s\":240.0,\"snapshot_every_s\":30.0,\"snapshot_s\":4.0,\"due_s\":900.0,\"new_field\":1}";

  @Test
  void readsASubmissionAndWritesItBack() throws InvalidMessageException {
    JobSpec job = JobSpec.parse(Json.parseObject(GOOD));
    assertEquals(16, job.taskCount());
    assertNull(job.zone());
    assertEquals(job, JobSpec.parse(job.toJson()));
    assertEquals(
        5,
        JobSpec.parse(
                Json.parseObject(
                    GOOD.replace("\"pieces\":16", "\"pieces\":9")
                        .replace("\"spread\":false", "\"spread\":true")))
            .maxTasksPerZone());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "\"pieces\":16|\"pieces\":0",
        "\"pieces\":16|\"pieces\":100001",
        "\"pieces\":16|\"pieces\":1.5",
        "\"pieces\":16|\"pieces\":\"16\"",
        "\"cores\":8.0|\"cores\":-1",
        "\"cores\":8.0|\"cores\":NaN",
        "\"cores\":8.0|\"cores\":null",
        "\"uid\":\"job-000412\"|\"uid\":\"412\"",
        "\"shape\":\"sweep\"|\"shape\":\"circle\"",
        "\"urgency\":\"high\"|\"urgency\":\"very\"",
        "\"one_zone\":true|\"one_zone\":1",
        "\"flavors\":[\"g8\"]|\"flavors\":\"g8\"",
        "\"flavors\":[\"g8\"]|\"flavors\":[8]",
        "\"due_s\":900.0|\"due_s\":-3",
        "\"owner\":\"vision\",|",
        "\"expect_s\":240.0|\"expect_s\":1e400",
        "\"site\":null|\"site\":7"
      })
  void refusesBadFields(String good, String bad) {
    String text = GOOD.replace(good, bad == null ? "" : bad);
    assertTrue(!text.equals(GOOD));
    assertThrows(InvalidMessageException.class, () -> JobSpec.parse(Json.parseObject(text)));
  }

  @Test
  void refusesWhatIsNoObject() {
    for (String text : List.of("", "[]", "7", "{", "{}{}", "null")) {
      assertThrows(InvalidMessageException.class, () -> Json.parseObject(text));
    }
  }

  @Test
  void readsAHeartbeatAndWritesCommands() throws InvalidMessageException {
    Heartbeat heartbeat =
        Heartbeat.parse(
            ("{\"host\":\"i-1\",\"endpoint\":\"h:1\",\"flavor\":\"g8\",\"site\":\"a\",\"loaners\":true,"
                 + "\"tenure\":1,\"tick\":88,\"baton\":41,\"reclaim_in_s\":null,\"pieces\":[{\"piece\":\"job-1/3\",\"try\":2,\"status\":\"ended\",\"exit_cause\":\"something"
                 + " new\"}]}")
                .getBytes(java.nio.charset.StandardCharsets.UTF_8));
    assertEquals(ExitCause.OTHER, heartbeat.attempts().get(0).cause());
    assertTrue(
        !heartbeat.hasPreemptionNotice()
            && heartbeat.isNewerThan(1, 87)
            && !heartbeat.isNewerThan(2, 1)
            && !heartbeat.isNewerThan(1, 88));
    assertEquals(
        "{\"baton\":41,\"orders\":[{\"verb\":\"halt\",\"piece\":\"job-1/3\",\"try\":2,\"wind_down_s\":10.0}]}",
        WorkerCommand.answer(41, List.of(WorkerCommand.stop(new TaskName("job-1", 3), 2, 10))));
    assertThrows(InvalidMessageException.class, () -> TaskName.of("job-1/-3"));
  }

  private static final String HEARTBEAT =
      "{\"host\":\"i-1\",\"endpoint\":\"h:1\",\"flavor\":\"g8\",\"site\":\"a\",\"loaners\":true,"
          + "\"tenure\":1,\"new\":{\"x\":[1,{\"host\":2}]},\"tick\":88,\"baton\":41,\"reclaim_in_s\":null,\"pieces\":[{\"piece\":\"job-1/3\","
          + "\"try\":2,\"status\":\"running\",\"more\":[[]]},{\"piece\":\"job-1/4\",\"try\":3,\"status\":\"ended\","
          + "\"exit_cause\":\"halted\",\"saved\":true}]}";

  private static Heartbeat heartbeat(String text) throws InvalidMessageException {
    return Heartbeat.parse(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
  }

  /**
   * Heartbeats are read field by field: what they say must not hang on fields this version does not
   * know, nor on their order.
   */
  @Test
  void readsAHeartbeatWhateverElseIsInIt() throws InvalidMessageException {
    Heartbeat otherHeartbeat = heartbeat(HEARTBEAT);
    assertEquals(
        new Heartbeat(
            "i-1",
            "h:1",
            "g8",
            "a",
            true,
            1,
            88,
            41,
            Heartbeat.NO_NOTICE,
            List.of(
                new Heartbeat.AttemptStatus(
                    new TaskName("job-1", 3), 2, AttemptState.RUNNING, null, false),
                new Heartbeat.AttemptStatus(
                    new TaskName("job-1", 4), 3, AttemptState.ENDED, ExitCause.STOPPED, true))),
        otherHeartbeat);
    assertEquals(
        3.5,
        heartbeat(HEARTBEAT.replace("\"reclaim_in_s\":null", "\"reclaim_in_s\":3.5"))
            .preemptionNoticeS());
    assertEquals(List.of(), heartbeat(HEARTBEAT.replaceAll(",\"pieces\".*", "}")).attempts());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "\"tick\":88|\"tick\":-1",
        "\"tick\":88|\"tick\":8.5",
        "\"tick\":88|\"tick\":\"88\"",
        "\"tick\":88|\"tick\":18446744073709551616",
        "\"tick\":88,|",
        "\"host\":\"i-1\",|",
        "\"host\":\"i-1\"|\"host\":\"\"",
        "\"host\":\"i-1\"|\"host\":null",
        "\"loaners\":true|\"loaners\":1",
        "\"reclaim_in_s\":null|\"reclaim_in_s\":-2",
        "\"reclaim_in_s\":null|\"reclaim_in_s\":true",
        "\"tenure\":1|\"tenure\":1,\"tenure\":2",
        "\"status\":\"running\"|\"status\":\"asleep\"",
        "\"status\":\"running\",|",
        "\"try\":2|\"try\":null",
        "\"saved\":true|\"saved\":7",
        "\"pieces\":[|\"pieces\":[7,",
        "\"piece\":\"job-1/3\"|\"piece\":\"job-1\""
      })
  void refusesABadHeartbeat(String good, String bad) {
    String text = HEARTBEAT.replace(good, bad == null ? "" : bad);
    assertTrue(!text.equals(HEARTBEAT));
    assertThrows(InvalidMessageException.class, () -> heartbeat(text));
  }

  @Test
  void refusesWhatIsNoHeartbeat() {
    for (String text :
        List.of(
            "",
            "[]",
            "7",
            "{",
            HEARTBEAT + "{}",
            HEARTBEAT + "x",
            HEARTBEAT.substring(0, HEARTBEAT.length() - 2),
            "null",
            "{}")) {
      assertThrows(InvalidMessageException.class, () -> heartbeat(text), text);
    }
  }
}
