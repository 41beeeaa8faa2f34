package plumlever.fleet;

import plumlever.wire.Heartbeat;

/**
 * A machine as the leader knows it: its type, its state between rental and return, and its fencing
 * tokens, contact, health and load.
 *
 * <p>Nothing is started on a machine before the machine's registration is stored.
 *
 * <p>Times are in microseconds of this controller's monotonic clock.
 */
public final class Machine extends Registrable {
  private static final double MICROS_PER_SECOND = 1e6;

  private final String id;
  private String endpoint;
  private final String machineType;
  private final String zone;
  private final boolean spot;
  private final long knownSinceMicros;

  private final MachineTokens tokens = new MachineTokens();
  private final MachineContact contact = new MachineContact();
  private final MachineHealth health = new MachineHealth();
  private final MachineLoad load = new MachineLoad();
  private final ImageCache images = new ImageCache();

  private boolean inherited;
  private boolean accounted;
  private long preemptedAtMicros = -1;
  private boolean draining;
  private boolean returning;
  private boolean transferring;
  private boolean failed;
  private long idleSinceMicros = -1;

  /**
   * Creates a machine that is known by name and has not sent a heartbeat yet.
   *
   * @param endpoint the machine's address, or null while only its rental is known
   * @param nowMicros the time at which the machine was rented or, if unknown, at which this leader
   *     learned of the machine
   */
  public Machine(
      String id, String endpoint, String machineType, String zone, boolean spot, long nowMicros) {
    this.id = id;
    this.endpoint = endpoint;
    this.machineType = machineType;
    this.zone = zone;
    this.spot = spot;
    this.knownSinceMicros = nowMicros;
  }

  /** The machine id assigned by the cloud. */
  public String id() {
    return id;
  }

  /** The machine's address; null while only its rental is known. */
  public String endpoint() {
    return endpoint;
  }

  /** Sets the address unless it is already known. */
  public void setEndpointIfUnknown(String address) {
    if (endpoint == null) {
      endpoint = address;
    }
  }

  /** The name of the machine type. */
  public String machineType() {
    return machineType;
  }

  public String zone() {
    return zone;
  }

  /** True for a spot machine, which the cloud may preempt at short notice. */
  public boolean spot() {
    return spot;
  }

  /**
   * Time at which the machine was rented. If the rental time is unknown, an estimate of it or the
   * time at which this leader learned about the machine.
   */
  public long knownSinceMicros() {
    return knownSinceMicros;
  }

  /** The fencing tokens issued for the machine. */
  public MachineTokens tokens() {
    return tokens;
  }

  /** The times and sequence numbers of the messages between the machine and this leader. */
  public MachineContact contact() {
    return contact;
  }

  public MachineHealth health() {
    return health;
  }

  /** The attempts of this shard and the tasks of other shards that may run on the machine. */
  public MachineLoad load() {
    return load;
  }

  /** The images that the machine is expected to have or to be fetching. */
  public ImageCache images() {
    return images;
  }

  /** Records a heartbeat of the machine. */
  public void recordHeartbeat(Heartbeat heartbeat, HeartbeatSource source, long nowMicros) {
    contact.recordHeartbeat(heartbeat, source, nowMicros);
    preemptedAtMicros =
        heartbeat.hasPreemptionNotice()
            ? nowMicros + (long) (heartbeat.preemptionNoticeS() * MICROS_PER_SECOND)
            : -1;
  }

  /** Records a heartbeat response that renews the machine's lease. */
  public void recordRenewal(long nowMicros) {
    contact.recordRenewal(nowMicros);
    tokens.recordRenewal();
  }

  /**
   * True if this leader knows all attempts that an earlier leader may have started on the machine.
   */
  public boolean accounted() {
    return accounted;
  }

  /**
   * Records that this leader knows all attempts that an earlier leader may have started on the
   * machine.
   */
  public void markAccounted() {
    accounted = true;
  }

  /**
   * Records that earlier leaders or a former owner may have started tasks on the machine that this
   * leader does not know: a stored record lists the machine, or it belonged to another shard.
   */
  public void markInherited() {
    inherited = true;
    accounted = false;
  }

  /**
   * True if a command that an earlier leader or a former owner sent may still be executed on the
   * machine.
   */
  public boolean mayExecuteEarlierCommands() {
    return inherited && !accounted;
  }

  /**
   * Time at which the cloud preempts the machine according to the preemption notice, or -1 without
   * a notice.
   */
  public long preemptedAtMicros() {
    return preemptedAtMicros;
  }

  /**
   * True if nothing more must be started on the machine, because the machine is faulty or about to
   * be preempted.
   */
  public boolean draining() {
    return draining || preemptedAtMicros >= 0;
  }

  /** Marks the machine as faulty, so that nothing more is started on it. */
  public void drain() {
    draining = true;
  }

  /** True once the leader has decided to return the machine to the cloud. */
  public boolean returning() {
    return returning;
  }

  /** Sets whether the leader has decided to return the machine to the cloud. */
  public void setReturning(boolean isReturning) {
    returning = isReturning;
  }

  /**
   * True while the machine is being transferred to another shard. Nothing is started on the machine
   * during a transfer.
   */
  public boolean transferring() {
    return transferring;
  }

  /** Sets whether the machine is being transferred to another shard. */
  public void setTransferring(boolean isTransferring) {
    transferring = isTransferring;
  }

  /**
   * Records that the cloud's machine list contains the machine.
   *
   * @param asFailed true if the list shows the machine as failed: it stopped without a return
   *     request
   */
  public void recordListing(boolean asFailed) {
    failed |= asFailed;
  }

  /** True if the cloud has ever listed the machine as failed. */
  public boolean failed() {
    return failed;
  }

  /** The time at which the machine became idle, or -1 if the machine is in use. */
  public long idleSinceMicros() {
    return idleSinceMicros;
  }

  /**
   * Sets the time at which the machine became idle.
   *
   * @param micros that time, or -1 if the machine is in use
   */
  public void setIdleSince(long micros) {
    idleSinceMicros = micros;
  }
}
