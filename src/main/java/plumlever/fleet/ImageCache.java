package plumlever.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import plumlever.wire.MachineType;

/**
 * The images that a machine has or is fetching, as far as that follows from the tasks that were
 * started on it. Like the machine's own cache it evicts the least recently used image first.
 */
public final class ImageCache {
  private static final double MICROS_PER_SECOND = 1e6;

  /** A fetch that takes longer counts as given up. */
  private static final long MAX_FETCH_MICROS = 300_000_000;

  /** At least this part of a running fetch is expected to remain, since its rate is not known. */
  private static final int MIN_REMAINING_DIVISOR = 10;

  private static final int INITIAL_CAPACITY = 8;
  private static final float LOAD_FACTOR = 0.75f;

  /** By name, the least recently used first. */
  private final LinkedHashMap<String, Image> images =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  /**
   * How long a task that needs the image would wait for it, as far as is known.
   *
   * @param gb size of the image
   * @param type of the machine
   */
  public long fetchMicros(String name, double gb, MachineType type, long nowMicros) {
    Image image = images.get(name);
    if (image != null && image.ready || type.fetchGbPerS() <= 0) {
      return 0;
    }
    // Fetches at the same time may share the rate.
    long wholeMicros =
        (long) (gb / type.fetchGbPerS() * MICROS_PER_SECOND) * (1 + otherFetches(name, nowMicros));
    return image == null
        ? wholeMicros
        : Math.max(
            wholeMicros / MIN_REMAINING_DIVISOR,
            wholeMicros - (nowMicros - image.fetchStartMicros));
  }

  private int otherFetches(String name, long nowMicros) {
    int count = 0;
    for (Map.Entry<String, Image> entry : images.entrySet()) {
      if (!entry.getValue().ready
          && !entry.getKey().equals(name)
          && nowMicros - entry.getValue().fetchStartMicros < MAX_FETCH_MICROS) {
        count++;
      }
    }
    return count;
  }

  /**
   * A task that needs the image is started on the machine, which fetches the image if it has not
   * got it.
   *
   * @param gb size of the image
   * @param type of the machine
   */
  public void recordUse(String name, double gb, MachineType type, long nowMicros) {
    if (images.get(name) == null) {
      images.put(name, new Image(gb, nowMicros));
    }
    evictDownTo(type.cacheGb(), name);
  }

  private void evictDownTo(double cacheGb, String keep) {
    double totalGb = 0;
    for (Image image : images.values()) {
      totalGb += image.gb;
    }
    var entries = images.entrySet().iterator();
    while (totalGb > cacheGb && entries.hasNext()) {
      Map.Entry<String, Image> leastRecent = entries.next();
      if (leastRecent.getKey().equals(keep)) {
        return;
      }
      totalGb -= leastRecent.getValue().gb;
      entries.remove();
    }
  }

  /** A task that needs the image runs, so the machine has it. */
  public void markReady(String name, double gb) {
    Image image = images.get(name);
    if (image == null) {
      image = new Image(gb, 0);
      images.put(name, image);
    }
    image.ready = true;
  }

  /** The images that the machine has, with their sizes in GB. */
  public Map<String, Double> readyImages() {
    Map<String, Double> ready = new LinkedHashMap<>();
    images.forEach(
        (name, image) -> {
          if (image.ready) {
            ready.put(name, image.gb);
          }
        });
    return ready;
  }

  /** The machine gives up a fetch, since no task waits for the image any more. */
  public void cancelFetch(String name) {
    Image image = images.get(name);
    if (image != null && !image.ready) {
      images.remove(name);
    }
  }

  private static final class Image {
    private final double gb;
    private final long fetchStartMicros;
    private boolean ready;

    Image(double gb, long fetchStartMicros) {
      this.gb = gb;
      this.fetchStartMicros = fetchStartMicros;
    }
  }
}
