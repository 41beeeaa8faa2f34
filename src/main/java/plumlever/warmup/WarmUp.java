package plumlever.warmup;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import plumlever.concurrent.EventLoop;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;

/**
 * Runs the code of a leader in a controller that does not lead, in short time slices while its
 * event loop is idle. Without the warm-up, a failover takes several times as long because the new
 * leader's code has not been compiled. The warm-up ends when all terms have been simulated, or
 * immediately when the controller is elected.
 */
public final class WarmUp {
  private static final Logger LOG = LoggerFactory.getLogger(WarmUp.class);

  /** The warm-up starts this long after the process, so that it does not delay the start-up. */
  private static final long START_DELAY_MICROS = 4_000_000;

  private static final long SLICE_MICROS = 15_000;
  private static final long MIN_PAUSE_MICROS = 30_000;
  private static final long BUSY_PAUSE_MICROS = 500_000;

  /**
   * The warm-up pauses while the event loop runs its actions more than this time after they are
   * due.
   */
  private static final long MAX_LATENESS_MICROS = 60_000;

  private final EventLoop loop;
  private final LongSupplier latenessMicros;
  private final BooleanSupplier leads;
  private final long createdMicros;
  private final PlatformConfiguration platform;
  private final SchedulerParameters parameters;
  private WarmUpTerms terms;
  private boolean finished;

  /**
   * @param latenessMicros how late the event loop has recently run its tasks
   * @param leads whether the controller is the leader
   */
  public WarmUp(
      EventLoop loop,
      PlatformConfiguration platform,
      SchedulerParameters parameters,
      LongSupplier latenessMicros,
      BooleanSupplier leads) {
    this.loop = loop;
    this.latenessMicros = latenessMicros;
    this.leads = leads;
    this.createdMicros = loop.nowMicros();
    this.platform = platform;
    this.parameters = parameters;
  }

  /** Runs the whole warm-up without pauses. */
  public static void runAll(PlatformConfiguration platform, SchedulerParameters parameters) {
    WarmUpTerms terms = new WarmUpTerms(platform, parameters, 0);
    boolean more = true;
    while (more) {
      more = terms.runNextEvent();
    }
  }

  /** Runs one slice of the warm-up; returns the delay to the next slice, or -1 at the end. */
  public long run() {
    long start = loop.nowMicros();
    if (finished || leads.getAsBoolean()) {
      return finish();
    }
    if (start - createdMicros < START_DELAY_MICROS
        || latenessMicros.getAsLong() > MAX_LATENESS_MICROS) {
      return BUSY_PAUSE_MICROS;
    }
    if (terms == null) {
      terms = new WarmUpTerms(platform, parameters, loop.wallMicros());
    }
    boolean more = true;
    while (more && loop.nowMicros() - start < SLICE_MICROS) {
      more = terms.runNextEvent();
    }
    if (!more) {
      LOG.info("warm-up finished after {} ms", (loop.nowMicros() - createdMicros) / 1_000);
      return finish();
    }
    return Math.max(MIN_PAUSE_MICROS, loop.nowMicros() - start);
  }

  private long finish() {
    finished = true;
    terms = null;
    return -1;
  }
}
