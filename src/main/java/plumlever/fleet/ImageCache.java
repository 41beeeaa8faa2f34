package plumlever.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import plumlever.wire.MachineType;

/**
 * The images that a machine has or is fetching, inferred from the tasks that were started on the
 * machine. As in the machine's own cache, the least recently used image is evicted first.
 */
public final class ImageCache {
  private static final double MICROS_PER_SECOND = 1e6;

  /** Time after which an unfinished image fetch is assumed to have been aborted. */
  private static final long MAX_FETCH_MICROS = 300_000_000;

  /**
   * The estimated remaining time of a running fetch is never less than the full fetch time divided
   * by this number, because the actual rate of the fetch is not known.
   */
  private static final int MIN_REMAINING_DIVISOR = 10;

  private static final int INITIAL_CAPACITY = 8;
  private static final float LOAD_FACTOR = 0.75f;

  /** Images by name in access order, least recently used first. */
  private final LinkedHashMap<String, Image> images =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  /**
   * Estimates how long a task would have to wait for the image on this machine.
   *
   * @param gb size of the image
   * @param type type of the machine
   */
  public long fetchMicros(String name, double gb, MachineType type, long nowMicros) {
    Image image = images.get(name);
    if (image != null && image.ready || type.fetchGbPerS() <= 0) {
      return 0;
    }
    // Concurrent fetches may share the fetch rate, so the fetch time is multiplied by their number.
    long fullFetchMicros =
        (long) (gb / type.fetchGbPerS() * MICROS_PER_SECOND)
            * (1 + countOtherFetches(name, nowMicros));
    return image == null
        ? fullFetchMicros
        : Math.max(
            fullFetchMicros / MIN_REMAINING_DIVISOR,
            fullFetchMicros - (nowMicros - image.fetchStartMicros));
  }

  private int countOtherFetches(String name, long nowMicros) {
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
   * Records the start of a task that needs the image. The machine fetches a missing image.
   *
   * @param gb size of the image
   * @param type type of the machine
   */
  public void recordUse(String name, double gb, MachineType type, long nowMicros) {
    if (images.get(name) == null) {
      images.put(name, new Image(gb, nowMicros));
    }
    evictDownTo(type.cacheGb(), name);
  }

  private void evictDownTo(double cacheGb, String retainedName) {
    double totalGb = 0;
    for (Image image : images.values()) {
      totalGb += image.gb;
    }
    var entries = images.entrySet().iterator();
    while (totalGb > cacheGb && entries.hasNext()) {
      Map.Entry<String, Image> leastRecent = entries.next();
      if (leastRecent.getKey().equals(retainedName)) {
        return;
      }
      totalGb -= leastRecent.getValue().gb;
      entries.remove();
    }
  }

  /** Records that a task that needs the image is running, so the machine has the image. */
  public void markReady(String name, double gb) {
    Image image = images.get(name);
    if (image == null) {
      image = new Image(gb, 0);
      images.put(name, image);
    }
    image.ready = true;
  }

  /** The images that the machine is known to have, by name, with their sizes in GB. */
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

  /** Records that the machine aborts fetching the image because no task is waiting for it. */
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
