package plumlever.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import plumlever.settings.Endpoint;
import plumlever.settings.OperatorSettings;
import plumlever.settings.PlatformConfiguration;

/** Tests the report that {@code --check} prints. */
final class CheckTest {
  @Test
  void reportListsAddressesLimitsAndParameters() {
    PlatformConfiguration platform =
        new PlatformConfiguration(
            "lever-0",
            "a",
            new Endpoint("127.0.0.1", 8080),
            new Endpoint("127.0.0.1", 8081),
            List.of(
                new PlatformConfiguration.PeerController(
                    "lever-1", "b", new Endpoint("127.0.0.2", 8081))),
            new Endpoint("127.0.0.1", 1),
            new Endpoint("127.0.0.1", 2),
            List.of(
                new PlatformConfiguration.Team("t", 1, 2, 0, 0),
                new PlatformConfiguration.Team("u", 1, 2, 0, 0)),
            List.of(),
            new PlatformConfiguration.Workers(3_000_000, 20_000_000, 40_000_000),
            new PlatformConfiguration.StateLimits(100, 15, 2048, 4, 4096),
            new PlatformConfiguration.CloudLimits(5, 3_000_000),
            256);
    assertEquals(
        """
        lever-0 in a would serve users and workers at 127.0.0.1:8080 and controllers at 127.0.0.1:8081
        other controllers: lever-1 at 127.0.0.2:8081
        state service at 127.0.0.1:2, cloud at 127.0.0.1:1
        one cell, all machines are its own
        connections: 32 for users and workers; beyond 28 each worker gets one for each report
        writes to the state service, within the limits now and next: values of 2048 bytes (now 4096), 4 changes a transaction, 15.0 changes and 100.0 requests a second
        teams: t, u
        money is saved where the aims leave time: idle machines are returned after 20.0 s
        padding 0.05, tie band 0.02, start target 30.0 s\
        """,
        Check.describe(platform, OperatorSettings.defaults()));
  }
}
