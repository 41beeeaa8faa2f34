package plumlever.fleet;

import org.agrona.collections.Long2ObjectHashMap;
import plumlever.wire.Heartbeat;

/** What is known of one machine. */
public final class Machine implements Registered {
  /** One run may be off by chance: ratios beyond these count as these. */
  private static final double LEAST_RATIO = 0.5;

  private static final double MOST_RATIO = 6;
  private static final double LEAST_SLOWNESS = 0.8;

  /** How much the last run counts against all before. */
  private static final double NEWS_SHARE = 0.3;

  private final String id;
  private String endpoint;
  private final String machineType;
  private final String zone;
  private final boolean spot;
  private final long knownSinceMicros;

  private RegistrationState registration = RegistrationState.NONE;
  private long incarnation;
  private long sequenceNumber;
  private long ownSequenceNumber;
  private long token;
  private long tokenTerm;
  private long answeredToken;
  private long directToken = -1;
  private long directEndsKnownMicros;
  private boolean commandInFlight;
  private int failedCalls;
  private int answerLost;
  private boolean unreachable;
  private long lastHeartbeatMicros = -1;
  private long lastSeenMicros = -1;
  private long lastAnswerMicros = -1;
  private long renewedElsewhereMicros = Long.MIN_VALUE / 4;
  private boolean accounted;
  private long preemptedAtMicros = -1;
  private boolean draining;
  private boolean returning;
  private boolean offered;
  private GuestLoad guests = GuestLoad.NONE;
  private long idleSinceMicros = -1;
  private long listedMicros = -1;
  private boolean failed;
  private double slowness = 1;
  private int errorStreak;
  private String lastErrorJob;
  private int erringJobs;

  /**
   * Attempts that are not over, and those among them of which nothing has been heard since they
   * were sent directly.
   */
  private int live;

  private int unconfirmedAttempts;
  private final Long2ObjectHashMap<Attempt> attempts = new Long2ObjectHashMap<>();

  private final ImageCache images = new ImageCache();

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
  public void learnEndpoint(String at) {
    if (endpoint == null) {
      endpoint = at;
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

  @Override
  public RegistrationState registration() {
    return registration;
  }

  @Override
  public void registration(RegistrationState otherRegistration) {
    registration = otherRegistration;
  }

  public long incarnation() {
    return incarnation;
  }

  public long sequenceNumber() {
    return sequenceNumber;
  }

  /**
   * Number of the last heartbeat that it sent itself; bodies of direct answers may have larger
   * ones.
   */
  public long ownSequenceNumber() {
    return ownSequenceNumber;
  }

  /** The token that answers and commands to it carry now. */
  public long token() {
    return token;
  }

  public void token(long now) {
    token = Math.max(token, now);
  }

  /** The term, or the number of its transfer, that its tokens belong to. */
  public long tokenTerm() {
    return tokenTerm;
  }

  /** From now on its tokens are those of this number, which is higher than any before. */
  public void tokenTerm(long number) {
    tokenTerm = number;
    token = Math.max(token, Fleet.firstToken(number));
  }

  /** True if whoever reported has seen a token that this leader gave out for the machine. */
  public boolean hasSeen(long reportedToken) {
    return Fleet.termOf(reportedToken) == tokenTerm;
  }

  /**
   * A direct command carries the present token; until the token is raised a copy of it may be
   * carried out late. There is no other without an answer at that time.
   *
   * @param endsKnownMicros when the last heard read of ended jobs had been sent
   */
  public void commandSent(long endsKnownMicros) {
    directToken = token;
    directEndsKnownMicros = endsKnownMicros;
  }

  /** What was known of ended jobs when the last direct command was sent to it. */
  public long directEndsKnownMicros() {
    return directEndsKnownMicros;
  }

  /** From the next answer on, no direct command sent before will be carried out. */
  public void voidDirectCommands() {
    token = Math.max(token, directToken + 1);
  }

  /**
   * True while a late copy of a direct command could still be carried out, as far as this side has
   * seen to it.
   */
  public boolean directCommandOpen() {
    return directToken >= token;
  }

  /** A direct command is on its way or its answer is. */
  public boolean commandInFlight() {
    return commandInFlight;
  }

  public void commandInFlight(boolean now) {
    commandInFlight = now;
  }

  /** A direct call came to its end. */
  public void directCallEnded(boolean answered) {
    failedCalls = answered ? 0 : failedCalls + 1;
  }

  /** Direct calls running that got no answer. */
  public int failedCalls() {
    return failedCalls;
  }

  /**
   * True while it may have started something that nothing has been heard of: a direct command
   * without an answer.
   */
  public boolean hasUnconfirmedStart() {
    return unconfirmedAttempts > 0;
  }

  /**
   * Heartbeats that show nothing of what was sent before them: a command that is lost, a token that
   * is not taken. After two running, answers and commands seem not to arrive, and the machine gets
   * neither work nor its lease renewed until it shows the token. Else each answer would push back
   * the time at which its lease has surely lapsed.
   */
  public void answerLost() {
    if (++answerLost >= 2) {
      unreachable = true;
    }
  }

  public void answerDelivered() {
    answerLost = 0;
    unreachable = false;
  }

  public boolean unreachable() {
    return unreachable;
  }

  /** True once it has reported in this term. */
  public boolean hasReported() {
    return lastHeartbeatMicros >= 0;
  }

  public long lastHeartbeatMicros() {
    return lastHeartbeatMicros;
  }

  /**
   * When it last told anything, by a heartbeat or by the answer to a direct call; -1 for never in
   * this term.
   */
  public long lastSeenMicros() {
    return lastSeenMicros;
  }

  /** When this controller last let it renew its lease; -1 for never. */
  public long lastAnswerMicros() {
    return lastAnswerMicros;
  }

  /**
   * Until when a former owner may have let it renew its lease; far in the past if there was none.
   */
  public long renewedElsewhereMicros() {
    return renewedElsewhereMicros;
  }

  public void renewedElsewhere(long untilMicros) {
    renewedElsewhereMicros = Math.max(renewedElsewhereMicros, untilMicros);
  }

  public void answered(long nowMicros) {
    lastAnswerMicros = nowMicros;
    answeredToken = token;
  }

  /** The token of the last answer that let it renew its lease; 0 before the first. */
  public long answeredToken() {
    return answeredToken;
  }

  /** A heartbeat of its own came after the body of a direct call that was sent later. */
  public void heartbeatOvertaken(long heartbeatSequenceNumber, long nowMicros) {
    ownSequenceNumber = heartbeatSequenceNumber;
    lastHeartbeatMicros = nowMicros;
    lastSeenMicros = nowMicros;
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

  /** True while it is being given to another cell: nothing is started on it. */
  public boolean offered() {
    return offered;
  }

  public void offered(boolean now) {
    offered = now;
  }

  /** What tasks of other cells hold of it. */
  public GuestLoad guests() {
    return guests;
  }

  public void guests(GuestLoad now) {
    guests = now;
  }

  /** A heartbeat of the machine arrived. */
  public void observed(Heartbeat heartbeat, long nowMicros, boolean own) {
    if (heartbeat.incarnation() > incarnation) {
      ownSequenceNumber = 0;
    }
    incarnation = heartbeat.incarnation();
    sequenceNumber = heartbeat.sequenceNumber();
    lastSeenMicros = nowMicros;
    if (own) {
      ownSequenceNumber = heartbeat.sequenceNumber();
      lastHeartbeatMicros = nowMicros;
    }
    preemptedAtMicros =
        heartbeat.noticed() ? nowMicros + (long) (heartbeat.preemptionNoticeS() * 1e6) : -1;
  }

  /** The incarnation in which it was last known to another leader. */
  public void incarnation(long incarnationThen) {
    incarnation = Math.max(incarnation, incarnationThen);
  }

  /** When the cloud takes it away, or -1. */
  public long preemptedAtMicros() {
    return preemptedAtMicros;
  }

  public boolean draining() {
    return draining || preemptedAtMicros >= 0;
  }

  public void drain() {
    draining = true;
  }

  public boolean returning() {
    return returning;
  }

  public void returning(boolean now) {
    returning = now;
  }

  public long idleSinceMicros() {
    return idleSinceMicros;
  }

  public void idleSince(long micros) {
    idleSinceMicros = micros;
  }

  public long listedMicros() {
    return listedMicros;
  }

  public void listed(long nowMicros, boolean asFailed) {
    listedMicros = nowMicros;
    failed |= asFailed;
  }

  public boolean failed() {
    return failed;
  }

  public Iterable<Attempt> attempts() {
    return attempts.values();
  }

  public Attempt attempt(long attemptId) {
    return attempts.get(attemptId);
  }

  void add(Attempt attempt) {
    attempts.put(attempt.id(), attempt);
    live++;
    unconfirmedAttempts += attempt.unconfirmed() ? 1 : 0;
  }

  /** Something was heard of an attempt that was sent directly, or it is over. */
  void attemptConfirmed() {
    unconfirmedAttempts--;
  }

  /** An attempt is over. */
  void ended() {
    live--;
  }

  void remove(Attempt attempt) {
    attempts.remove(attempt.id());
  }

  /** True while a task may be on it, also one of another cell. */
  public boolean running() {
    return live > 0 || guests.tasks() > 0;
  }

  /** How many tasks of this cell may be on it. */
  public int liveAttempts() {
    return live;
  }

  /** True once every attempt that was ever on it has been forgotten. */
  public boolean hasNoAttempts() {
    return attempts.isEmpty();
  }

  /** Observed run time over the planned one; 1 for a machine as fast as its type. */
  public double slowness() {
    return slowness;
  }

  public void observe(double ratio) {
    double bounded = Math.max(LEAST_RATIO, Math.min(MOST_RATIO, ratio));
    slowness = Math.max(LEAST_SLOWNESS, (1 - NEWS_SHARE) * slowness + NEWS_SHARE * bounded);
  }

  /**
   * A machine that fails the tasks of several jobs is faulty; one job failing may be the job's own
   * mistake.
   */
  public boolean noteError(String job) {
    errorStreak++;
    if (!job.equals(lastErrorJob)) {
      lastErrorJob = job;
      erringJobs++;
    }
    return erringJobs >= 2 && errorStreak >= 3;
  }

  /** A task completed on it, so earlier errors count for less. */
  public void noteSuccess() {
    errorStreak = 0;
    erringJobs = 0;
    lastErrorJob = null;
  }

  /** Images that it should have or is fetching. */
  public ImageCache images() {
    return images;
  }
}
