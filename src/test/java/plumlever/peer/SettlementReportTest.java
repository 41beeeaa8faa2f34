package plumlever.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the report in the response to a peer's status. */
final class SettlementReportTest {
  private static Optional<SettlementReport> read(String body) {
    return SettlementReport.read(body.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void aWrittenReportIsReadUnchanged() {
    SettlementReport report = new SettlementReport(1_500_000, Set.of("i-000007"));
    String body = SettlementReport.write(Optional.of(report));
    assertEquals("{\"ended_jobs_read_age_us\":1500000,\"unsettled\":[\"i-000007\"]}", body);
    assertEquals(Optional.of(report), read(body));
  }

  /** Earlier versions answer with an empty object, from which nothing may be concluded. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "{}",
        "",
        "[]",
        "{\"ended_jobs_read_age_us\":-1,\"unsettled\":[]}",
        "{\"ended_jobs_read_age_us\":\"5\",\"unsettled\":[]}",
        "{\"ended_jobs_read_age_us\":5}",
        "{\"ended_jobs_read_age_us\":5,\"unsettled\":{}}"
      })
  void anythingElseIsNoReport(String body) {
    assertEquals(Optional.empty(), read(body));
  }

  @Test
  void aControllerThatDoesNotLeadReportsNothing() {
    assertEquals("{}", SettlementReport.write(Optional.empty()));
  }
}
