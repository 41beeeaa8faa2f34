package plumlever.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import plumlever.wire.MachineType;

/** Tests the image cache of a machine that fetches 1 GB per second and stores up to 10 GB. */
final class ImageCacheTest {
  private static final long SECOND = 1_000_000;
  private static final MachineType TYPE =
      new MachineType("small", 4, 0, 16, 10, 1, 0.2, 0.06, 30, List.of());

  private final ImageCache images = new ImageCache();

  @Test
  void unknownImageNeedsFullFetch() {
    assertEquals(4 * SECOND, images.fetchMicros("a", 4, TYPE, 0));
  }

  @Test
  void readyImageNeedsNoFetch() {
    images.markReady("a", 4);

    assertEquals(0, images.fetchMicros("a", 4, TYPE, 0));
  }

  @Test
  void runningFetchTakesRemainingTimeButAtLeastOneTenth() {
    images.recordUse("a", 4, TYPE, 0);

    assertEquals(3 * SECOND, images.fetchMicros("a", 4, TYPE, SECOND));
    assertEquals(4 * SECOND / 10, images.fetchMicros("a", 4, TYPE, 60 * SECOND));
  }

  @Test
  void concurrentFetchesShareTheRate() {
    images.recordUse("b", 1, TYPE, 0);
    images.recordUse("c", 1, TYPE, 0);

    assertEquals(12 * SECOND, images.fetchMicros("a", 4, TYPE, 0));
  }

  @Test
  void evictsLeastRecentlyUsedImage() {
    for (String name : List.of("a", "b", "a", "c")) {
      images.recordUse(name, 4, TYPE, 0);
      images.markReady(name, 4);
    }

    assertEquals(Set.of("a", "c"), images.readyImages().keySet());
  }

  @Test
  void cancelledFetchRestartsFromTheBeginning() {
    images.recordUse("a", 4, TYPE, 0);

    images.cancelFetch("a");

    assertEquals(4 * SECOND, images.fetchMicros("a", 4, TYPE, 3 * SECOND));
  }
}
