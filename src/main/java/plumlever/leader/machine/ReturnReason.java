package plumlever.leader.machine;

/** Why a machine is returned to the cloud. */
enum ReturnReason {
  /** The cloud lists the machine as stopped by itself. */
  FAILED("the cloud lists it as failed"),
  /** The machine has been booting for far longer than its type takes. */
  NOT_BOOTING("it did not boot in time"),
  /** The machine is one of few in its zone for which inherited tasks still wait. */
  DELAYS_FAILOVER("it delays the failover"),
  /**
   * The machine has not reported for longer than allowed. The limit is higher while its zone seems
   * to be partitioned.
   */
  SILENT("it has stopped reporting"),
  /** The machine is faulty or about to be preempted, and runs no tasks any longer. */
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
