package plumlever.warmup;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import plumlever.concurrent.Loop;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;

/**
 * Lets a controller that does not lead run the code of a leader, in small slices while it has
 * nothing better to do: a successor whose code has never run takes several times as long to take
 * over. It ends when all is played, or at once when the controller is elected.
 */
public final class WarmUp {
  private static final Logger LOG = LoggerFactory.getLogger(WarmUp.class);

  /** The first seconds belong to those who wait for the process to be up. */
  private static final long AFTER_MICROS = 4_000_000;

  private static final long SLICE_MICROS = 15_000;
  private static final long PAUSE_MICROS = 30_000;
  private static final long BUSY_PAUSE_MICROS = 500_000;

  /** A loop that comes this late has no time to spare. */
  private static final long LATE_MICROS = 60_000;

  private final Loop loop;
  private final LongSupplier latenessMicros;
  private final BooleanSupplier leads;
  private final long beganMicros;
  private final PlatformConfiguration platform;
  private final SchedulerParameters parameters;
  private WarmUpTerms terms;
  private boolean over;

  /**
   * @param latenessMicros how late the loop was lately
   */
  public WarmUp(
      Loop loop,
      PlatformConfiguration platform,
      SchedulerParameters parameters,
      LongSupplier latenessMicros,
      BooleanSupplier leads) {
    this.loop = loop;
    this.latenessMicros = latenessMicros;
    this.leads = leads;
    this.beganMicros = loop.nowMicros();
    this.platform = platform;
    this.parameters = parameters;
  }

  /** All of it at once. */
  public static void playAll(PlatformConfiguration platform, SchedulerParameters parameters) {
    WarmUpTerms terms = new WarmUpTerms(platform, parameters, 0);
    boolean more = true;
    while (more) {
      more = terms.step();
    }
  }

  /** One turn of the recurring task. */
  public long run() {
    long start = loop.nowMicros();
    if (over || leads.getAsBoolean()) {
      return end();
    }
    if (start - beganMicros < AFTER_MICROS || latenessMicros.getAsLong() > LATE_MICROS) {
      return BUSY_PAUSE_MICROS;
    }
    if (terms == null) {
      terms = new WarmUpTerms(platform, parameters, loop.wallMicros());
    }
    boolean more = true;
    while (more && loop.nowMicros() - start < SLICE_MICROS) {
      more = terms.step();
    }
    if (!more) {
      LOG.info("warm after {} ms", (loop.nowMicros() - beganMicros) / 1_000);
      return end();
    }
    return Math.max(PAUSE_MICROS, loop.nowMicros() - start);
  }

  private long end() {
    over = true;
    terms = null;
    return -1;
  }
}
