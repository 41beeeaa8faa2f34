package plumlever.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the parsing and writing of messages, and the rejection of invalid messages. */
final class WireTest {
  private static final String SUBMISSION =
      "{\"uid\":\"job-000412\",\"jobclass\":\"train\",\"owner\":\"vision\",\"shape\":\"sweep\","
          + "\"urgency\":\"high\",\"pieces\":16,\"cores\":8.0,\"accelerators\":1.0,\"memory_gb\":64.0,\"bundle\":\"img-07\","
          + "\"image_gb\":6.2,\"flavors\":[\"g8\"],\"site\":null,\"one_zone\":true,\"spread\":false,\"loaners\":true,"
          + "\"expect_s\":240.0,\"snapshot_every_s\":30.0,\"snapshot_s\":4.0,\"due_s\":900.0,\"new_field\":1}";

  private static final String HEARTBEAT =
      "{\"host\":\"i-1\",\"endpoint\":\"h:1\",\"flavor\":\"g8\",\"site\":\"a\",\"loaners\":true,"
          + "\"tenure\":1,\"new\":{\"x\":[1,{\"host\":2}]},\"tick\":88,\"baton\":41,\"reclaim_in_s\":null,\"pieces\":[{\"piece\":\"job-1/3\","
          + "\"try\":2,\"status\":\"running\",\"more\":[[]]},{\"piece\":\"job-1/4\",\"try\":3,\"status\":\"ended\","
          + "\"exit_cause\":\"halted\",\"saved\":true}]}";

  private static JobSpec job(String text) throws InvalidMessageException {
    return JobSpec.parse(Json.parseObject(text));
  }

  private static Heartbeat heartbeat(String text) throws InvalidMessageException {
    return Heartbeat.parse(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void readsASubmission() throws InvalidMessageException {
    JobSpec job = job(SUBMISSION);

    assertEquals(16, job.taskCount());
    assertNull(job.zone());
  }

  @Test
  void submissionRoundTrip() throws InvalidMessageException {
    JobSpec job = job(SUBMISSION);

    assertEquals(job, JobSpec.parse(job.toJson()));
  }

  @Test
  void atMostHalfOfTheTasksOfASpreadJobRoundedUpRunInOneZone() throws InvalidMessageException {
    JobSpec job =
        job(
            SUBMISSION
                .replace("\"pieces\":16", "\"pieces\":9")
                .replace("\"spread\":false", "\"spread\":true"));

    assertEquals(5, job.maxTasksPerZone());
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
  void rejectsASubmissionWithAnInvalidField(String good, String bad) {
    String text = SUBMISSION.replace(good, bad == null ? "" : bad);
    assertNotEquals(SUBMISSION, text);
    assertThrows(InvalidMessageException.class, () -> job(text));
  }

  @Test
  void rejectsTextThatIsNotAJsonObject() {
    for (String text : List.of("", "[]", "7", "{", "{}{}", "null")) {
      assertThrows(InvalidMessageException.class, () -> Json.parseObject(text));
    }
  }

  @Test
  void anUnknownExitCauseIsReadAsOther() throws InvalidMessageException {
    Heartbeat heartbeat =
        heartbeat(
            HEARTBEAT.replace("\"exit_cause\":\"halted\"", "\"exit_cause\":\"something new\""));

    assertEquals(ExitCause.OTHER, heartbeat.attempts().get(1).cause());
  }

  @Test
  void aHeartbeatIsNewerByIncarnationAndThenBySequenceNumber() throws InvalidMessageException {
    Heartbeat heartbeat = heartbeat(HEARTBEAT);

    assertTrue(heartbeat.isNewerThan(1, 87));
    assertFalse(heartbeat.isNewerThan(1, 88));
    assertFalse(heartbeat.isNewerThan(2, 1));
  }

  @Test
  void aHeartbeatWithoutTimeOfPreemptionHasNoNotice() throws InvalidMessageException {
    assertFalse(heartbeat(HEARTBEAT).hasPreemptionNotice());
  }

  @Test
  void writesHeartbeatResponse() {
    assertEquals(
        "{\"baton\":41,\"orders\":[{\"verb\":\"halt\",\"piece\":\"job-1/3\",\"try\":2,\"wind_down_s\":10.0}]}",
        WorkerCommand.heartbeatResponse(
            41, List.of(WorkerCommand.stop(new TaskName("job-1", 3), 2, 10))));
  }

  @Test
  void commandsRoundTrip() throws InvalidMessageException {
    TaskName task = new TaskName("job-1", 3);
    List<WorkerCommand> commands =
        List.of(
            WorkerCommand.run(task, 4),
            WorkerCommand.stop(task, 2, 10),
            WorkerCommand.remove(task, 1));

    assertEquals(
        commands,
        WorkerCommand.parseResponse(
            WorkerCommand.heartbeatResponse(41, commands).getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  void rejectsAnUnknownCommand() {
    String body = "{\"baton\":41,\"orders\":[{\"verb\":\"jump\",\"piece\":\"job-1/3\",\"try\":2}]}";

    assertThrows(
        InvalidMessageException.class,
        () -> WorkerCommand.parseResponse(body.getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  void rejectsANegativeTaskNumber() {
    assertThrows(InvalidMessageException.class, () -> TaskName.of("job-1/-3"));
  }

  @Test
  void machineTypesRoundTrip() throws InvalidMessageException {
    List<MachineType> machineTypes =
        List.of(
            new MachineType("g8", 8, 1, 64, 50, 0.5, 2, 0.7, 30, List.of("a", "b")),
            new MachineType("owned", 4, 0, 16, 20, 0, 0.1, 0.1, 5, List.of()));

    assertEquals(machineTypes, MachineType.parseCatalog(MachineType.writeCatalog(machineTypes)));
  }

  /**
   * The heartbeat parser reads field by field and must accept unknown fields and fields in any
   * order.
   */
  @Test
  void readsAHeartbeatWithUnknownFields() throws InvalidMessageException {
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
        heartbeat(HEARTBEAT));
  }

  @Test
  void readsAPreemptionNotice() throws InvalidMessageException {
    assertEquals(
        3.5,
        heartbeat(HEARTBEAT.replace("\"reclaim_in_s\":null", "\"reclaim_in_s\":3.5"))
            .preemptionNoticeS());
  }

  @Test
  void aHeartbeatWithoutAttemptsHasNone() throws InvalidMessageException {
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
  void rejectsAHeartbeatWithAnInvalidField(String good, String bad) {
    String text = HEARTBEAT.replace(good, bad == null ? "" : bad);
    assertNotEquals(HEARTBEAT, text);
    assertThrows(InvalidMessageException.class, () -> heartbeat(text));
  }

  @Test
  void rejectsTextThatIsNotAHeartbeat() {
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
