package plumlever.leader.machine;

/** Why a machine is returned to the cloud. */
enum ReturnReason {
  /** The cloud lists it as one that stopped by itself. */
  FAILED("it failed"),
  /** It has been booting for far longer than its type takes. */
  NOT_BOOTING("it does not come up"),
  /** It is one of few in its zone that inherited tasks still wait for. */
  DELAYS_FAILOVER("it holds up the failover"),
  /** It has not reported, and its zone does not seem to be partitioned. */
  SILENT("it is silent"),
  /** It is faulty or about to be preempted, and runs nothing any more. */
  DRAINED("it is drained"),
  /** Nothing has run on it for so long that it is not worth its price. */
  IDLE("it is idle");

  private final String logText;

  ReturnReason(String logText) {
    this.logText = logText;
  }

  /** As the log states it. */
  @Override
  public String toString() {
    return logText;
  }
}
