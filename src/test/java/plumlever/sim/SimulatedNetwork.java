package plumlever.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import plumlever.settings.Endpoint;
import plumlever.wire.ProtocolPath;

/**
 * The network between controllers, workers, users, the state service and the cloud. Shares of
 * messages can be lost, delayed, copied or held back.
 */
final class SimulatedNetwork {
  /** Answers a request, now or later. */
  interface Reply {
    void send(int status, String body);

    /** The connection ends with the answer. */
    default void sendClosing(int status, String body) {
      send(status, body);
    }
  }

  /** What takes requests. */
  interface Service {
    void handle(String from, String method, String path, String body, Reply reply);
  }

  /**
   * What came of a request.
   *
   * @param status 0 if there was no answer
   * @param connectionCloses true if the connection ends with the answer
   */
  record Answer(int status, String body, boolean connectionCloses) {
    private static final Answer NONE = new Answer(0, "", false);
  }

  static final long LATENCY_MICROS = 3_000;
  static final Endpoint STATE = new Endpoint("state", 1);
  static final Endpoint CLOUD = new Endpoint("cloud", 1);

  /** Longest time a copy of a heartbeat comes late: well over a lease. */
  static final long LATEST_COPY_MICROS = 3 * FakeWorker.LEASE_MICROS;

  private static final int JITTER_MICROS = 2_000;

  /** A message that meets a cut is tried again after this. */
  private static final long CUT_RETRY_MICROS = 500_000;

  private static final Reply NOBODY = (status, body) -> {};

  final Map<Endpoint, Service> services = new HashMap<>();

  /** Pairs {@code from>to} whose messages are held. */
  final Map<String, Boolean> cuts = new HashMap<>();

  /** Share of calls that lose their answer. */
  double lostAnswerShare;

  /** Share of calls that are executed late. */
  double executedLateShare;

  /** Share of calls that are executed once more later. */
  double repeatedShare;

  /** Share of direct commands that come once more, late. */
  double copiedCommandShare;

  /** Extra time that direct commands are under way. */
  long extraCommandDelayMicros;

  /** Share of direct commands that are held back, for up to the time below. */
  double heldCommandShare;

  long heldCommandMicros;

  /** Share of direct commands whose answer is lost. */
  double lostCommandAnswerShare;

  /** Share of heartbeats of which a copy comes late, at any controller. */
  double copiedHeartbeatShare;

  /**
   * Share of heartbeats of which a copy is kept, and comes to every controller when a new leader
   * begins.
   */
  double heartbeatShareKeptForNextLeader;

  /** How many copies new leaders were sent. */
  int copiesSentToNewLeaders;

  /** Machines whose heartbeats reach no controller, while direct commands reach them. */
  final Set<String> machinesWithoutControllers = new HashSet<>();

  final DelegationChecker delegations;

  private final EventQueue events;
  private final SplittableRandom random;
  private final Set<String> controllers;
  private final boolean checkDelegations;
  private final List<String> heartbeatsForNextLeader = new ArrayList<>();

  /**
   * @param controllers labels, also of those that come later
   */
  SimulatedNetwork(
      EventQueue events,
      SplittableRandom random,
      Set<String> controllers,
      DelegationChecker delegations,
      boolean checkDelegations) {
    this.events = events;
    this.random = random;
    this.controllers = controllers;
    this.delegations = delegations;
    this.checkDelegations = checkDelegations;
  }

  /** Holds all messages between the two, or lets them pass again. */
  void cut(String one, String other, boolean on) {
    cuts.put(one + ">" + other, on);
    cuts.put(other + ">" + one, on);
  }

  private boolean isCut(String from, String to) {
    return cuts.getOrDefault(from + ">" + to, false)
        || cuts.getOrDefault(from + ">*", false)
        || cuts.getOrDefault("*>" + to, false);
  }

  /** A term has begun: its leader is sent the heartbeats that were kept for it. */
  void newTerm() {
    List<String> copies = new ArrayList<>(heartbeatsForNextLeader);
    heartbeatsForNextLeader.clear();
    for (String body : copies) {
      for (String controller : controllers) {
        copiesSentToNewLeaders++;
        deliver(
            new Message("copy", new Endpoint(controller, 1), "POST", ProtocolPath.HEARTBEAT, body),
            NOBODY,
            random.nextLong(1_500_000L));
      }
    }
  }

  private record Message(String from, Endpoint to, String method, String path, String body) {
    boolean isCommand() {
      return path.equals(ProtocolPath.COMMANDS);
    }

    boolean isHeartbeat() {
      return path.equals(ProtocolPath.HEARTBEAT);
    }
  }

  /** A request over the network; a cut holds it and delivers it, late, when the cut ends. */
  void send(
      String from,
      Endpoint to,
      String method,
      String path,
      String body,
      long timeoutMicros,
      Consumer<Answer> answer) {
    Message message = new Message(from, to, method, path, body);
    OneAnswer oneAnswer = new OneAnswer(answer);
    events.at(timeoutMicros, () -> oneAnswer.take(Answer.NONE));
    if (message.isCommand() && checkDelegations) {
      delegations.sent(to.host(), body);
    }
    boolean answerIsLost =
        random.nextDouble() < lostAnswerShare
            || (message.isCommand() && random.nextDouble() < lostCommandAnswerShare);
    long delayMicros = delayMicros(message);
    Reply reply = new NetworkReply(message, answerIsLost, oneAnswer);
    if (message.isCommand() && random.nextDouble() < copiedCommandShare) {
      deliver(message, NOBODY, 4_000_000L + random.nextLong(16_000_000L));
      deliver(message, NOBODY, 500_000L + random.nextLong(LATEST_COPY_MICROS));
    }
    if (message.isHeartbeat() && machinesWithoutControllers.contains(from)) {
      return;
    }
    if (message.isHeartbeat()) {
      copyHeartbeat(message);
    }
    deliver(message, reply, delayMicros);
    if (random.nextDouble() < repeatedShare) {
      deliver(message, NOBODY, delayMicros + 500_000L + random.nextLong(20_000_000L));
    }
  }

  private long delayMicros(Message message) {
    long delayMicros = LATENCY_MICROS + random.nextInt(JITTER_MICROS);
    if (message.isCommand()) {
      delayMicros += extraCommandDelayMicros;
    }
    if (message.isCommand() && heldCommandShare > 0 && random.nextDouble() < heldCommandShare) {
      delayMicros += random.nextLong(heldCommandMicros);
    }
    if (random.nextDouble() < executedLateShare) {
      delayMicros += 1_000_000L + random.nextLong(60_000_000L);
    }
    return delayMicros;
  }

  private void copyHeartbeat(Message message) {
    if (random.nextDouble() < heartbeatShareKeptForNextLeader) {
      heartbeatsForNextLeader.add(message.body);
    }
    if (random.nextDouble() < copiedHeartbeatShare) {
      Endpoint any = new Endpoint("n" + random.nextInt(controllers.size()), 1);
      Endpoint to = random.nextBoolean() ? message.to : any;
      deliver(
          new Message(message.from, to, message.method, message.path, message.body),
          NOBODY,
          1_000_000L + random.nextLong(LATEST_COPY_MICROS));
    }
  }

  private void deliver(Message message, Reply reply, long delayMicros) {
    events.at(
        delayMicros,
        () -> {
          if (isCut(message.from, message.to.host())) {
            deliver(message, reply, CUT_RETRY_MICROS);
            return;
          }
          Service service = services.get(message.to);
          if (service != null) {
            service.handle(message.from, message.method, message.path, message.body, reply);
          }
        });
  }

  /** Passes the first answer on, be it that none came in time. */
  private static final class OneAnswer {
    private final Consumer<Answer> taker;
    private boolean taken;

    OneAnswer(Consumer<Answer> taker) {
      this.taker = taker;
    }

    void take(Answer answer) {
      if (!taken) {
        taken = true;
        taker.accept(answer);
      }
    }
  }

  /** The way back of an answer. */
  private final class NetworkReply implements Reply {
    private final Message message;
    private final boolean isLost;
    private final OneAnswer answer;

    NetworkReply(Message message, boolean isLost, OneAnswer answer) {
      this.message = message;
      this.isLost = isLost;
      this.answer = answer;
    }

    @Override
    public void send(int status, String body) {
      sendBack(new Answer(status, body, false));
    }

    @Override
    public void sendClosing(int status, String body) {
      sendBack(new Answer(status, body, true));
    }

    private void sendBack(Answer sent) {
      events.at(
          LATENCY_MICROS,
          () -> {
            if (!isLost && !isCut(message.to.host(), message.from)) {
              answer.take(sent);
            }
          });
    }
  }
}
