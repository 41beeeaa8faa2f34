package plumlever.settings;

/**
 * Everything an operator may turn, with its unit in the name. The defaults hold for any deployment;
 * what a deployment states itself (leases, rates, lags) is in {@link PlatformConfiguration}.
 *
 * @param paddingShare added to run-time estimates when a deadline is checked; the design's default
 * @param tieShare scores this close to the least are a tie; the design's default
 * @param startTargetMicros a task with no deadline should start within this; the design's default
 * @param leaseTtlMicros how long a silent leader stays leading: short enough for a quick successor,
 *     long enough that a controller running behind its processor share does not lose leadership
 * @param touchMicros pause between renewals of the leader's lease
 * @param actMarginMicros the leader stops this long before its lease may end, for a round that runs
 *     late
 * @param progressMicros pause between writes of task progress; the design's default
 * @param roundBudgetMicros the longest a scheduling pass may take before it lets requests through
 * @param silentMicros a machine that has not reported for this long is asked directly, and if alone
 *     in its silence returned
 * @param idleMoneyMicros an idle machine is returned after this where money matters
 * @param idleSpeedMicros the same where only speed matters
 * @param bootFactor a machine is given up when it boots longer than its nominal time by this factor
 * @param rentMicros about what it takes to rent a machine and have it up: what a waiting task must
 *     have left
 * @param beginMicros a job of which nothing has run after this goes before all others, whatever its
 *     priority: age must win in the end
 * @param standbySpreads room that stands by for work that must start sooner than a machine can be
 *     rented, in standard deviations of what comes in meanwhile; 0 for none
 * @param spotRisk where only speed matters, share by which a spot machine seems dearer to a task
 *     that can't save its work: one task that is lost makes its whole job late
 * @param ownedHourly cost per hour the operator sets for owned machine types, by type name
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
    java.util.Map<String, Double> ownedHourly) {

  /** The values that hold where operators say nothing. */
  public static SchedulerParameters defaults() {
    return new SchedulerParameters(
        0.05,
        0.02,
        30_000_000,
        3_500_000,
        700_000,
        300_000,
        5_000_000,
        20_000,
        9_000_000,
        20_000_000,
        300_000_000,
        4.0,
        35_000_000,
        120_000_000,
        1.0,
        0.3,
        java.util.Map.of());
  }
}
