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
        one cell, which owns all machines
        connections: 32 for users and workers; above 28, a worker's connection is closed after each heartbeat
        state service limits, the smaller of current and announced: values of 2048 bytes (current limit 4096), 4 operations per transaction, 15.0 operations and 100.0 requests per second
        teams: t, u
        cost is minimized where the objectives leave time: idle machines are returned after 20.0 s
        run time padding 0.05, tie tolerance 0.02, start target 30.0 s\
        """,
        Check.describe(platform, OperatorSettings.defaults()));
  }
}
