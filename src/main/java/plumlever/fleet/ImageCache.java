package plumlever.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import plumlever.wire.MachineType;

/**
 * The images that a machine should have or is fetching, as far as that follows from the tasks that
 * went there; the most recently used last.
 */
public final class ImageCache {
  private static final long STALE_FETCH_MICROS = 300_000_000;

  private final LinkedHashMap<String, Image> images = new LinkedHashMap<>(8, 0.75f, true);

  /** Tells how long a task that needs the image would wait for it, as far as known. */
  public long fetchMicros(String image, double gb, MachineType type, long nowMicros) {
    Image held = images.get(image);
    if (held != null && held.readyImages || type.fetchGbPerS() <= 0) {
      return 0;
    }
    int others = 0;
    for (Map.Entry<String, Image> entry : images.entrySet()) {
      if (!entry.getValue().readyImages
          && !entry.getKey().equals(image)
          && nowMicros - entry.getValue().sinceMicros < STALE_FETCH_MICROS) {
        others++;
      }
    }
    // Several fetches at a time may share the rate.
    long whole = (long) (gb / type.fetchGbPerS() * 1e6) * (1 + others);
    return held == null ? whole : Math.max(whole / 10, whole - (nowMicros - held.sinceMicros));
  }

  /** A task that needs the image goes to the machine. */
  public void recordUse(String image, double gb, MachineType type, long nowMicros) {
    Image held = images.get(image);
    if (held == null) {
      images.put(image, new Image(gb, nowMicros));
    }
    double sum = 0;
    for (Image otherImage : images.values()) {
      sum += otherImage.gb;
    }
    var it = images.entrySet().iterator();
    while (sum > type.cacheGb() && it.hasNext()) {
      Map.Entry<String, Image> eldest = it.next();
      if (eldest.getKey().equals(image)) {
        break;
      }
      sum -= eldest.getValue().gb;
      it.remove();
    }
  }

  /** A task that needs the image runs, so the machine has it. */
  public void markReady(String image, double gb) {
    Image held = images.get(image);
    if (held == null) {
      held = new Image(gb, 0);
      images.put(image, held);
    }
    held.readyImages = true;
  }

  /** Images it has, with their sizes. */
  public Map<String, Double> readyImages() {
    Map<String, Double> readyImages = new LinkedHashMap<>();
    images.forEach(
        (name, i) -> {
          if (i.readyImages) {
            readyImages.put(name, i.gb);
          }
        });
    return readyImages;
  }

  /** The fetch was given up, since no task waits for it any more. */
  public void cancelFetch(String image) {
    Image held = images.get(image);
    if (held != null && !held.readyImages) {
      images.remove(image);
    }
  }

  private static final class Image {
    private final double gb;
    private final long sinceMicros;
    private boolean readyImages;

    Image(double gb, long sinceMicros) {
      this.gb = gb;
      this.sinceMicros = sinceMicros;
    }
  }
}
