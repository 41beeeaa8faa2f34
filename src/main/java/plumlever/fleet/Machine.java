package plumlever.fleet;

import plumlever.wire.Heartbeat;

/**
 * One machine as the leader knows it: what it is, how far it has got between rental and return, and
 * the parts that keep its tokens, contact, health and load.
 */
public final class Machine implements Registrable {
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

  private RegistrationState registration = RegistrationState.NONE;
  private boolean accounted;
  private long preemptedAtMicros = -1;
  private boolean draining;
  private boolean returning;
  private boolean transferring;
  private boolean failed;
  private long idleSinceMicros = -1;

  /** A machine that is known by name and has not reported yet. */
  public Machine(
      String id, String endpoint, String machineType, String zone, boolean spot, long nowMicros) {
    this.id = id;
    this.endpoint = endpoint;
    this.machineType = machineType;
    this.zone = zone;
    this.spot = spot;
    this.knownSinceMicros = nowMicros;
  }

  public String id() {
    return id;
  }

  /** Null while only the rental is known. */
  public String endpoint() {
    return endpoint;
  }

  /** Its address, if none was known. */
  public void learnEndpoint(String address) {
    if (endpoint == null) {
      endpoint = address;
    }
  }

  public String machineType() {
    return machineType;
  }

  public String zone() {
    return zone;
  }

  public boolean spot() {
    return spot;
  }

  public long knownSinceMicros() {
    return knownSinceMicros;
  }

  /** The fencing tokens that are given out for it. */
  public MachineTokens tokens() {
    return tokens;
  }

  /** When it and this leader last heard of each other. */
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

  @Override
  public RegistrationState registration() {
    return registration;
  }

  @Override
  public void setRegistration(RegistrationState now) {
    registration = now;
  }

  /**
   * The machine told of itself.
   *
   * @param own by a heartbeat of its own, not by the answer to a direct call
   */
  public void recordReport(Heartbeat heartbeat, long nowMicros, boolean own) {
    contact.recordReport(heartbeat, nowMicros, own);
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

  public void markAccounted() {
    accounted = true;
  }

  /** It has changed hands: what may run on it has to be found out anew. */
  public void markUnaccounted() {
    accounted = false;
  }

  /** When the cloud takes it away, or -1. */
  public long preemptedAtMicros() {
    return preemptedAtMicros;
  }

  /** True if nothing more is started on it, because it is faulty or about to be taken away. */
  public boolean draining() {
    return draining || preemptedAtMicros >= 0;
  }

  public void drain() {
    draining = true;
  }

  /** True once it has been decided that it goes back to the cloud. */
  public boolean returning() {
    return returning;
  }

  public void setReturning(boolean now) {
    returning = now;
  }

  /** True while it is being given to another cell: nothing is started on it. */
  public boolean transferring() {
    return transferring;
  }

  public void setTransferring(boolean now) {
    transferring = now;
  }

  /** The cloud lists it. */
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

  public void setIdleSince(long micros) {
    idleSinceMicros = micros;
  }
}
