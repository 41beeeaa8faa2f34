package plumlever.leader.machine;

/** The reason for returning a machine to the cloud. */
enum ReturnReason {
  /** The cloud lists the machine as stopped by itself. */
  FAILED("the cloud lists it as failed"),
  /** The machine has been booting for far longer than its type takes. */
  NOT_BOOTING("it did not boot in time"),
  /**
   * Pending tasks of jobs from earlier terms wait until it is known which tasks this machine runs;
   * most of its zone has already reported.
   */
  DELAYS_FAILOVER("it delays the failover"),
  /**
   * The machine has not reported for longer than allowed. The limit is higher while its zone seems
   * to be partitioned.
   */
  SILENT("it has been silent for too long"),
  /** The machine is faulty or about to be preempted, and no longer runs tasks. */
  DRAINED("it is drained"),
  /** The machine has been idle for so long that it is not worth its price. */
  IDLE("it is idle");

  private final String logText;

  ReturnReason(String logText) {
    this.logText = logText;
  }

  /** Returns the text for the log. */
  @Override
  public String toString() {
    return logText;
  }
}
