package plumlever.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that the example files under {@code deploy/} are valid. */
final class DeployFilesTest {
  @Test
  void sharingFileIsValidForThreeControllers() throws Exception {
    PlatformConfiguration platform =
        new PlatformConfiguration(
            "lever-1",
            "a",
            new Endpoint("127.0.0.1", 1),
            new Endpoint("127.0.0.1", 2),
            List.of(
                new PlatformConfiguration.PeerController(
                    "lever-0", "a", new Endpoint("127.0.0.1", 3)),
                new PlatformConfiguration.PeerController(
                    "lever-2", "a", new Endpoint("127.0.0.1", 4))),
            new Endpoint("127.0.0.1", 5),
            new Endpoint("127.0.0.1", 6),
            List.of(),
            List.of(),
            new PlatformConfiguration.Workers(3_000_000, 20_000_000, 40_000_000),
            new PlatformConfiguration.StateLimits(100, 20, 4096, 8),
            new PlatformConfiguration.CloudLimits(6, 3_000_000),
            2_000);
    SharingSettings sharing =
        OperatorFile.load(Path.of("deploy/sharing.yaml"), platform).sharing().orElseThrow();
    assertEquals("north", sharing.ownShard().name());
    assertEquals(3, sharing.shards().size());
  }
}
