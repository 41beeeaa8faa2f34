package plumlever.settings;

import java.util.Map;

/**
 * Everything that an operator may change, with its unit in the name. The defaults hold for any
 * deployment; what a deployment states itself (leases, rates, lags) is in {@link
 * PlatformConfiguration}.
 *
 * @param paddingShare added to run-time estimates when a deadline is checked
 * @param tieShare scores this close to the lowest are a tie
 * @param startTargetMicros a task without a deadline should start within this
 * @param leaseTtlMicros how long a silent leader stays leader: short enough for a quick successor,
 *     long enough that a controller that exceeds its processor share does not lose leadership
 * @param leaseRenewalMicros pause between renewals of the leader's lease
 * @param actMarginMicros the leader stops acting this long before its lease may end, for timers
 *     that fire late
 * @param progressPauseMicros pause between writes of task progress
 * @param passBudgetMicros the longest that a scheduling pass may take before requests are let
 *     through
 * @param silentMicros a machine that has not reported for this long is called, and if it is alone
 *     in its silence returned
 * @param idleMoneyMicros an idle machine is returned after this where money matters
 * @param idleSpeedMicros the same where only speed matters
 * @param bootFactor a machine is given up when it boots longer than its nominal time by this factor
 * @param rentalMicros about what it takes to rent a machine and have it up
 * @param mustStartMicros a job of which nothing has run after this goes before all others, whatever
 *     its priority
 * @param headroomDeviations idle capacity kept for work that must start sooner than a machine can
 *     be rented, in standard deviations of what is submitted meanwhile; 0 for none
 * @param spotRisk where only speed matters, share by which a spot machine seems more expensive to a
 *     task that can't save its work: one task that is lost delays its whole job
 * @param ownedHourly cost per hour that the operator sets for owned machine types, by type name
 */
public record SchedulerParameters(
    double paddingShare,
    double tieShare,
    long startTargetMicros,
    long leaseTtlMicros,
    long leaseRenewalMicros,
    long actMarginMicros,
    long progressPauseMicros,
    long passBudgetMicros,
    long silentMicros,
    long idleMoneyMicros,
    long idleSpeedMicros,
    double bootFactor,
    long rentalMicros,
    long mustStartMicros,
    double headroomDeviations,
    double spotRisk,
    Map<String, Double> ownedHourly) {

  private static final double PADDING_SHARE = 0.05;
  private static final double TIE_SHARE = 0.02;
  private static final long START_TARGET_MICROS = 30_000_000;
  private static final long LEASE_TTL_MICROS = 3_500_000;
  private static final long LEASE_RENEWAL_MICROS = 700_000;
  private static final long ACT_MARGIN_MICROS = 300_000;
  private static final long PROGRESS_PAUSE_MICROS = 5_000_000;
  private static final long PASS_BUDGET_MICROS = 20_000;
  private static final long SILENT_MICROS = 9_000_000;
  private static final long IDLE_MONEY_MICROS = 20_000_000;
  private static final long IDLE_SPEED_MICROS = 300_000_000;
  private static final double BOOT_FACTOR = 4.0;
  private static final long RENTAL_MICROS = 35_000_000;
  private static final long MUST_START_MICROS = 120_000_000;
  private static final double HEADROOM_DEVIATIONS = 1.0;
  private static final double SPOT_RISK = 0.3;

  /** The values that hold where operators set none. */
  public static SchedulerParameters defaults() {
    return new SchedulerParameters(
        PADDING_SHARE,
        TIE_SHARE,
        START_TARGET_MICROS,
        LEASE_TTL_MICROS,
        LEASE_RENEWAL_MICROS,
        ACT_MARGIN_MICROS,
        PROGRESS_PAUSE_MICROS,
        PASS_BUDGET_MICROS,
        SILENT_MICROS,
        IDLE_MONEY_MICROS,
        IDLE_SPEED_MICROS,
        BOOT_FACTOR,
        RENTAL_MICROS,
        MUST_START_MICROS,
        HEADROOM_DEVIATIONS,
        SPOT_RISK,
        Map.of());
  }
}
