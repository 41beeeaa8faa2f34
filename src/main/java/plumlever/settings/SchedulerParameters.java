package plumlever.settings;

import java.util.Map;

/**
 * Scheduler parameters that operators can set. The names of durations end in their unit. The
 * defaults suit any deployment; values that the platform specifies per deployment (leases, rates,
 * lags) are in {@link PlatformConfiguration}.
 *
 * @param runTimePadding the fraction added to estimated run times when a deadline is checked
 * @param tieTolerance the relative distance from the lowest score within which scores count as a
 *     tie
 * @param startTargetMicros the time within which a task without a deadline should start
 * @param leaseTtlMicros the duration of the leader's lease: short enough that a failed leader is
 *     replaced quickly, long enough that a controller that exceeds its processor share does not
 *     lose leadership
 * @param leaseRenewalIntervalMicros the interval between renewals of the leader's lease
 * @param leaseSafetyMarginMicros the leader stops acting this long before its lease can expire,
 *     because timers may fire late
 * @param progressWriteIntervalMicros the interval between writes of task progress
 * @param passBudgetMicros the time after which a scheduling pass is interrupted to handle pending
 *     requests
 * @param heartbeatTimeoutMicros if a machine has sent no heartbeat for this long, the leader calls
 *     its worker; the machine is returned if the rest of its zone still sends heartbeats
 * @param idleTimeoutForCostMicros the idle time after which a machine is returned if cost matters
 * @param idleTimeoutForSpeedMicros the idle time after which a machine is returned if only speed
 *     matters
 * @param bootTimeoutFactor the boot timeout of a machine, as a multiple of the nominal startup time
 *     of its type; a machine that boots for longer is returned
 * @param provisioningMicros the approximate time from a rental request until the machine is up
 * @param starvationLimitMicros a job that has waited for this long without any task started is
 *     scheduled before all other jobs, regardless of priority, to prevent starvation
 * @param headroomDeviations the idle capacity that is kept for work that must start sooner than a
 *     machine can be rented, as a number of standard deviations of the work submitted in the time
 *     that a rental takes; 0 keeps none
 * @param spotRiskPremium the fraction added to the cost of a spot machine for a task without
 *     checkpoints, if only speed matters, because the loss of one task delays the whole job
 * @param ownedHourlyCosts the hourly cost that operators set for owned machine types, by type name
 */
public record SchedulerParameters(
    double runTimePadding,
    double tieTolerance,
    long startTargetMicros,
    long leaseTtlMicros,
    long leaseRenewalIntervalMicros,
    long leaseSafetyMarginMicros,
    long progressWriteIntervalMicros,
    long passBudgetMicros,
    long heartbeatTimeoutMicros,
    long idleTimeoutForCostMicros,
    long idleTimeoutForSpeedMicros,
    double bootTimeoutFactor,
    long provisioningMicros,
    long starvationLimitMicros,
    double headroomDeviations,
    double spotRiskPremium,
    Map<String, Double> ownedHourlyCosts) {

  private static final double RUN_TIME_PADDING = 0.05;
  private static final double TIE_TOLERANCE = 0.02;
  private static final long START_TARGET_MICROS = 30_000_000;
  private static final long LEASE_TTL_MICROS = 3_500_000;
  private static final long LEASE_RENEWAL_INTERVAL_MICROS = 700_000;
  private static final long LEASE_SAFETY_MARGIN_MICROS = 300_000;
  private static final long PROGRESS_WRITE_INTERVAL_MICROS = 5_000_000;
  private static final long PASS_BUDGET_MICROS = 20_000;
  private static final long HEARTBEAT_TIMEOUT_MICROS = 9_000_000;
  private static final long IDLE_TIMEOUT_FOR_COST_MICROS = 20_000_000;
  private static final long IDLE_TIMEOUT_FOR_SPEED_MICROS = 300_000_000;
  private static final double BOOT_TIMEOUT_FACTOR = 4.0;
  private static final long PROVISIONING_MICROS = 35_000_000;
  private static final long STARVATION_LIMIT_MICROS = 120_000_000;
  private static final double HEADROOM_DEVIATIONS = 1.0;
  private static final double SPOT_RISK_PREMIUM = 0.3;

  /** Returns the values of parameters that operators do not set. */
  public static SchedulerParameters defaults() {
    return new SchedulerParameters(
        RUN_TIME_PADDING,
        TIE_TOLERANCE,
        START_TARGET_MICROS,
        LEASE_TTL_MICROS,
        LEASE_RENEWAL_INTERVAL_MICROS,
        LEASE_SAFETY_MARGIN_MICROS,
        PROGRESS_WRITE_INTERVAL_MICROS,
        PASS_BUDGET_MICROS,
        HEARTBEAT_TIMEOUT_MICROS,
        IDLE_TIMEOUT_FOR_COST_MICROS,
        IDLE_TIMEOUT_FOR_SPEED_MICROS,
        BOOT_TIMEOUT_FACTOR,
        PROVISIONING_MICROS,
        STARVATION_LIMIT_MICROS,
        HEADROOM_DEVIATIONS,
        SPOT_RISK_PREMIUM,
        Map.of());
  }
}
