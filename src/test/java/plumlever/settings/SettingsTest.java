package plumlever.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the parsing of settings files and the messages for invalid files. */
final class SettingsTest {
  private static final String PLATFORM =
      """
      label = "n0"
      area = "a"
      bind = "127.0.0.1:8080"
      back = "127.0.0.1:8081"
      shiny = "an unknown field"
      [[seeds]]
      label = "n1"
      area = "b"
      endpoint = "127.0.0.2:8081"
      [outside]
      cloud = "127.0.0.1:1"
      state = "127.0.0.1:2"
      [deployment]
      count = 2
      [[deployment.teams]]
      name = "t"
      cpus = 1.0
      cpus_max = 2.0
      gpus = 0.0
      gpus_max = 0.0
      [[deployment.objectives]]
      kind = "wait"
      class = "c"
      within_s = 250.0
      share = 0.9
      [deployment.workers]
      report_s = 3.0
      lease_s = 20.0
      cancel_s = 40.0
      [deployment.state]
      rps = 100.0
      write_rps = 20.0
      value_kb = 4.0
      txn_ops = 8
      [deployment.cloud]
      rps = 5.0
      list_lag_s = 3.0
      [deployment.quota]
      fd_limit = 256
      """;

  @TempDir Path dir;

  private Path file(String text) throws IOException {
    return Files.writeString(dir.resolve("s"), text);
  }

  private PlatformConfiguration platform(String text) throws IOException, SettingsException {
    return PlatformConfiguration.load(file(text));
  }

  private String platformError(String text) {
    return assertThrows(SettingsException.class, () -> platform(text)).getMessage();
  }

  private OperatorSettings operators(String yaml) throws IOException, SettingsException {
    PlatformConfiguration platform = platform(PLATFORM);
    return OperatorFile.load(file(yaml), platform);
  }

  private String operatorsError(String yaml) {
    return assertThrows(SettingsException.class, () -> operators(yaml)).getMessage();
  }

  @Test
  void readsThePlatformsFileAndIgnoresUnknownFields() throws Exception {
    PlatformConfiguration platform = platform(PLATFORM);

    assertEquals(20_000_000, platform.workers().leaseMicros());
    assertEquals(new Endpoint("127.0.0.2", 8081), platform.peers().get(0).endpoint());
    assertEquals(4096, platform.stateLimits().valueBytes());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "lease_s = 20.0 | lease_s = \"x\" | deployment.workers.lease_s must be a number",
        "state = \"127.0.0.1:2\" | `` | outside.state is missing",
        "127.0.0.1:8080 | 8080 | bind must be ADDRESS:PORT"
      })
  void platformFileErrorsNameTheFileTheKeyAndTheReason(String good, String bad, String reason) {
    String text = PLATFORM.replace(good, bad);

    assertEquals(dir.resolve("s") + ": " + reason, platformError(text));
  }

  @Test
  void aPlatformFileThatIsNotTomlIsAnError() {
    assertTrue(platformError("label = ").contains("not TOML"));
  }

  @Test
  void aMissingPlatformFileIsAnError() {
    assertTrue(
        assertThrows(SettingsException.class, () -> PlatformConfiguration.load(dir.resolve("none")))
            .getMessage()
            .contains("cannot be read"));
  }

  private static String withAnnouncedLimits(String next) {
    return PLATFORM.replace(
        "txn_ops = 8\n", "txn_ops = 8\n[deployment.state.next]\n" + next + "\n");
  }

  /**
   * For each limit of the state service, the smaller of the current and the announced value applies
   * from startup. A limit without an announced value stays at the current value.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "rps = 50.0; write_rps = 15.0; value_kb = 2.0; txn_ops = 4 | 50 | 15 | 2048 | 4",
        "rps = 900.0; write_rps = 90.0; value_kb = 64.0; txn_ops = 80 | 100 | 20 | 4096 | 8",
        "write_rps = 5.0 | 100 | 5 | 4096 | 8",
        "value_kb = 1.0 | 100 | 20 | 1024 | 8",
        "txn_ops = 3; sparkle = true | 100 | 20 | 4096 | 3",
        "'' | 100 | 20 | 4096 | 8"
      })
  void stateLimitsAreTheSmallerOfCurrentAndAnnounced(
      String next, double rps, double writeRps, int valueBytes, int transactionOps)
      throws Exception {
    PlatformConfiguration.StateLimits limits =
        platform(withAnnouncedLimits(next.replace("; ", "\n"))).stateLimits();

    assertEquals(
        new PlatformConfiguration.StateLimits(rps, writeRps, valueBytes, transactionOps, 4096),
        limits);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "value_kb = 0.5 | deployment.state.next.value_kb must be from 1.0 to 1000000.0",
        "txn_ops = 2 | deployment.state.next.txn_ops must be from 3.0 to 1000000.0",
        "write_rps = 0 | deployment.state.next.write_rps must be from 1.0 to 1.0E9",
        "rps = \"many\" | deployment.state.next.rps must be a number"
      })
  void limitsBelowTheMinimumAreErrors(String next, String reason) {
    assertEquals(dir.resolve("s") + ": " + reason, platformError(withAnnouncedLimits(next)));
  }

  @Test
  void announcedLimitsMustBeATable() {
    assertEquals(
        dir.resolve("s") + ": deployment.state.next must be a table",
        platformError(PLATFORM.replace("txn_ops = 8", "txn_ops = 8\nnext = 7")));
  }

  private static final String SHARDS =
      """
      sharing:
        machines: 10
        cells:
          - name: one
            controllers: [n0]
            floor: 4
            weight: 2
          - name: two
            controllers: [n1]
            floor: 3
      """;

  @Test
  void sharingTableGivesTheShardOfThisController() throws Exception {
    SharingSettings sharing = operators(SHARDS).sharing().orElseThrow();

    assertEquals("one", sharing.ownShard().name());
    assertEquals("one/", sharing.ownShard().prefix());
    assertEquals(1, sharing.shard("two").weight());
  }

  @Test
  void theSameSharingTableHasTheSameDigest() throws Exception {
    String digest = operators(SHARDS).sharing().orElseThrow().digest();

    assertEquals(digest, operators(SHARDS).sharing().orElseThrow().digest());
  }

  @Test
  void anotherSharingTableHasAnotherDigest() throws Exception {
    String digest = operators(SHARDS).sharing().orElseThrow().digest();

    String changed = SHARDS.replace("floor: 3", "floor: 2");
    assertNotEquals(digest, operators(changed).sharing().orElseThrow().digest());
  }

  @Test
  void sharingIsEmptyWithoutASharingTable() throws Exception {
    assertTrue(operators("tie_share: 0.1").sharing().isEmpty());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "[n1] | [n9] | sharing.cells[1].controllers names n9, which is not in this deployment",
        "[n1] | [n0] | sharing.cells[1].controllers names n0, which cell one already lists",
        "controllers: [n1] | controllers: [] | sharing.cells[1].controllers must be a list of",
        "floor: 3 | floor: 7 | sharing.cells have floors of 11 machines in total; the pool has 10",
        "weight: 2 | weight: 0 | sharing.cells[0].weight must be a number above 0",
        "weight: 2 | weight: -1 | sharing.cells[0].weight must be a number above 0",
        "weight: 2 | prefix: pool/ | sharing.cells[0].prefix is reserved for keys of the service",
        "floor: 3 | prefix: one/ | sharing.cells[1].prefix is also the prefix of cell one",
        "floor: 3 | prefix: A | sharing.cells[1].prefix must be empty, or lower-case letters",
        "name: two | name: one | sharing.cells[1].name is used twice: one",
        "machines: 10 | machine: 10 | sharing.machine is unknown",
        "floor: 3 | flor: 3 | sharing.cells[1].flor is unknown",
        "'sharing:' | 'sharing: 7 #' | sharing must be a table"
      })
  void sharingTableErrorsNameTheKeyAndTheReason(String part, String instead, String reason) {
    String yaml = instead.startsWith("sharing: 7") ? "sharing: 7" : SHARDS.replace(part, instead);

    String error = operatorsError(yaml);

    assertTrue(error.contains(reason), error);
  }

  @Test
  void aControllerInNoShardIsAnError() {
    String yaml = SHARDS.substring(0, SHARDS.indexOf("    - name: two"));

    String error = operatorsError(yaml);

    assertTrue(error.endsWith("sharing.cells must list every controller; no cell lists n1"), error);
  }

  @Test
  void operatorsFileOverridesOnlyTheParametersItSets() throws Exception {
    SchedulerParameters parameters =
        operators("padding_share: 0.1\nowned_hourly:\n  rack: 0.02\n").parameters();

    assertEquals(0.1, parameters.runTimePadding());
    assertEquals(0.02, parameters.ownedHourlyCosts().get("rack"));
    assertEquals(SchedulerParameters.defaults().tieTolerance(), parameters.tieTolerance());
  }

  @Test
  void emptyOperatorsFileGivesTheDefaults() throws Exception {
    assertEquals(SchedulerParameters.defaults(), operators("").parameters());
  }

  @Test
  void anUnknownKeyOfTheOperatorsFileIsAnError() {
    assertTrue(operatorsError("pading_share: 0.1").endsWith("pading_share is unknown"));
  }

  @Test
  void aValueOutOfRangeInTheOperatorsFileIsAnError() {
    assertTrue(operatorsError("tie_share: 7").contains("tie_share must be from"));
  }

  @Test
  void theLeaseOfTheLeaderMustExceedTwoRenewals() {
    assertTrue(
        operatorsError("touch_s: 2")
            .endsWith(": grant_ttl_s must exceed twice touch_s and act_margin_s"));
  }

  private static final long RENTAL_MICROS = 35_000_000;
  private static final String NO_TIME_TO_RENT =
      PLATFORM.replace("within_s = 250.0", "within_s = 8.0");

  @Test
  void costMattersIfObjectivesLeaveTimeToRent() throws Exception {
    assertTrue(platform(PLATFORM).costMatters(RENTAL_MICROS));
  }

  @Test
  void costDoesNotMatterIfAnObjectiveLeavesNoTimeToRent() throws Exception {
    assertFalse(platform(NO_TIME_TO_RENT).costMatters(RENTAL_MICROS));
  }

  @Test
  void costMattersIfAnObjectiveIsAboutCost() throws Exception {
    String text =
        NO_TIME_TO_RENT.replace(
            "[deployment.workers]",
            "[[deployment.objectives]]\nkind = \"price\"\n[deployment.workers]");

    assertTrue(platform(text).costMatters(RENTAL_MICROS));
  }
}
