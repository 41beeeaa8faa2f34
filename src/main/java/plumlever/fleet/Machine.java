package plumlever.fleet;

import plumlever.wire.Heartbeat;

/**
 * One machine as the leader knows it: what it is, how far it has got between rental and return, and
 * the parts that keep its tokens, contact, health and load. Until its registration is stored
 * nothing is started on it.
 *
 * <p>Times are in microseconds on this controller's steady clock.
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

  private boolean accounted;
  private long preemptedAtMicros = -1;
  private boolean draining;
  private boolean returning;
  private boolean transferring;
  private boolean failed;
  private long idleSinceMicros = -1;

  /**
   * A machine that is known by name and has not reported yet.
   *
   * @param endpoint its address, or null while only its rental is known
   * @param nowMicros since when it is known
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

  /** The name that the cloud gave it. */
  public String id() {
    return id;
  }

  /** Its address; null while only its rental is known. */
  public String endpoint() {
    return endpoint;
  }

  /** Takes the address unless one is known already. */
  public void learnEndpoint(String address) {
    if (endpoint == null) {
      endpoint = address;
    }
  }

  /** The name of its type. */
  public String machineType() {
    return machineType;
  }

  /** The zone that it is in. */
  public String zone() {
    return zone;
  }

  /** True if the cloud may take it back at short notice. */
  public boolean spot() {
    return spot;
  }

  /** When it was rented, or first heard of. */
  public long knownSinceMicros() {
    return knownSinceMicros;
  }

  /** The fencing tokens that are given out for it. */
  public MachineTokens tokens() {
    return tokens;
  }

  /** When the machine and this leader last heard of each other. */
  public MachineContact contact() {
    return contact;
  }

  /** How well it runs tasks. */
  public MachineHealth health() {
    return health;
  }

  /** What may run on it. */
  public MachineLoad load() {
    return load;
  }

  /** Images that it should have or is fetching. */
  public ImageCache images() {
    return images;
  }

  /** The machine has reported its state. */
  public void recordReport(Heartbeat heartbeat, HeartbeatSource source, long nowMicros) {
    contact.recordReport(heartbeat, source, nowMicros);
    preemptedAtMicros =
        heartbeat.hasPreemptionNotice()
            ? nowMicros + (long) (heartbeat.preemptionNoticeS() * MICROS_PER_SECOND)
            : -1;
  }

  /** A heartbeat was answered so that its lease is renewed. */
  public void recordRenewal(long nowMicros) {
    contact.recordRenewal(nowMicros);
    tokens.recordRenewal();
  }

  /** True when everything an earlier leader may have started on it is known. */
  public boolean accounted() {
    return accounted;
  }

  /** Everything that an earlier leader may have started on it is known. */
  public void markAccounted() {
    accounted = true;
  }

  /** Its owner has changed: what may run on it is unknown. */
  public void markUnaccounted() {
    accounted = false;
  }

  /** When the cloud takes it back by its notice, or -1 without a notice. */
  public long preemptedAtMicros() {
    return preemptedAtMicros;
  }

  /** True if nothing more is started on it, because it is faulty or about to be preempted. */
  public boolean draining() {
    return draining || preemptedAtMicros >= 0;
  }

  /** Nothing more is started on it, since it is faulty. */
  public void drain() {
    draining = true;
  }

  /** True once it has been decided to return it to the cloud. */
  public boolean returning() {
    return returning;
  }

  /** Whether it has been decided to return it to the cloud. */
  public void setReturning(boolean returned) {
    returning = returned;
  }

  /** True while it is being given to another shard: nothing is started on it. */
  public boolean transferring() {
    return transferring;
  }

  /** Whether it is being given to another shard. */
  public void setTransferring(boolean transferred) {
    transferring = transferred;
  }

  /**
   * The cloud lists the machine.
   *
   * @param asFailed true if as one that stopped by itself
   */
  public void recordListing(boolean asFailed) {
    failed |= asFailed;
  }

  /** True if the cloud has listed it as one that stopped by itself. */
  public boolean failed() {
    return failed;
  }

  /** Since when nothing has run on it, or -1 while something does. */
  public long idleSinceMicros() {
    return idleSinceMicros;
  }

  /**
   * Nothing runs on it.
   *
   * @param micros since when, or -1 if something runs
   */
  public void setIdleSince(long micros) {
    idleSinceMicros = micros;
  }
}
