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
 * Simulates the network between controllers, workers, users, the state service and the cloud. Tests
 * set the shares of messages that are lost, delayed, duplicated or held back.
 */
final class SimulatedNetwork {
  /** Sends the response to a request, immediately or later. */
  interface Reply {
    void send(int status, String body);

    /** Sends the response and closes the connection. */
    default void sendClosing(int status, String body) {
      send(status, body);
    }
  }

  /** A service that handles requests. */
  interface Service {
    void handle(String from, String method, String path, String body, Reply reply);
  }

  /**
   * Outcome of a request.
   *
   * @param status 0 if no response arrived within the timeout
   * @param connectionCloses true if the connection closes after the response
   */
  record Response(int status, String body, boolean connectionCloses) {
    private static final Response NONE = new Response(0, "", false);
  }

  static final long LATENCY_MICROS = 3_000;
  static final Endpoint STATE = new Endpoint("state", 1);
  static final Endpoint CLOUD = new Endpoint("cloud", 1);

  /** Longest delay of a duplicated heartbeat, well over the lease time. */
  static final long MAX_DUPLICATE_DELAY_MICROS = 3 * FakeWorker.LEASE_MICROS;

  private static final int JITTER_MICROS = 2_000;

  /** Interval at which delivery over a blocked link is retried. */
  private static final long BLOCKED_RETRY_MICROS = 500_000;

  private static final Reply NO_REPLY = (status, body) -> {};

  final Map<Endpoint, Service> services = new HashMap<>();

  /**
   * Blocked links as {@code from>to}, where {@code *} stands for any endpoint. Requests over a
   * blocked link are held until the link is restored; responses over the link are dropped.
   */
  final Map<String, Boolean> blockedLinks = new HashMap<>();

  /** Share of requests whose response is lost. */
  double lostResponseShare;

  /** Share of requests that are executed 1 to 61 s late. */
  double executedLateShare;

  /** Share of requests that are executed a second time later. */
  double repeatedShare;

  /**
   * Share of direct commands (sent in calls to workers, not in heartbeat responses) of which two
   * late duplicates are delivered.
   */
  double duplicatedCommandShare;

  /** Additional delivery delay of direct commands (sent in calls to workers). */
  long extraCommandDelayMicros;

  /**
   * Share of direct commands (sent in calls to workers) that the network delivers late, by up to
   * {@link #heldCommandMicros}.
   */
  double heldCommandShare;

  long heldCommandMicros;

  /** Share of direct commands (sent in calls to workers) whose response is lost. */
  double lostCommandResponseShare;

  /** Share of heartbeats of which a late duplicate is delivered to any controller. */
  double duplicatedHeartbeatShare;

  /**
   * Share of heartbeats of which a duplicate is kept and delivered to every controller when a new
   * term begins.
   */
  double heartbeatShareKeptForNextTerm;

  /** Number of heartbeat duplicates, kept until a new term began, that were sent to controllers. */
  int keptHeartbeatsDelivered;

  /** Machines whose heartbeats reach no controller, while direct commands reach the machines. */
  final Set<String> machinesWithLostHeartbeats = new HashSet<>();

  /** Machines that direct calls sent from now on never reach. */
  final Set<String> machinesWithLostCalls = new HashSet<>();

  /** Additional delay of the responses to heartbeats. */
  long extraHeartbeatResponseDelayMicros;

  /**
   * Direct commands that were executed and answered, in the order of their answers, if {@link
   * #recordsExecutedCommands} is set.
   */
  private final List<Message> executedCommands = new ArrayList<>();

  /** True if executed direct commands are recorded, so that copies of them can be delivered. */
  boolean recordsExecutedCommands;

  final DelegationChecker delegationChecker;

  private final EventQueue events;
  private final SplittableRandom random;
  private final Set<String> controllers;
  private final boolean checkDelegations;
  private final List<String> heartbeatsKeptForNextTerm = new ArrayList<>();

  /**
   * @param controllers labels of the controllers; a live view, as controllers may be added later
   */
  SimulatedNetwork(
      EventQueue events,
      SplittableRandom random,
      Set<String> controllers,
      DelegationChecker delegationChecker,
      boolean checkDelegations) {
    this.events = events;
    this.random = random;
    this.controllers = controllers;
    this.delegationChecker = delegationChecker;
    this.checkDelegations = checkDelegations;
  }

  /** Blocks the link between two endpoints in both directions, or unblocks the link. */
  void setBlocked(String one, String other, boolean on) {
    blockedLinks.put(one + ">" + other, on);
    blockedLinks.put(other + ">" + one, on);
  }

  private boolean isBlocked(String from, String to) {
    return blockedLinks.getOrDefault(from + ">" + to, false)
        || blockedLinks.getOrDefault(from + ">*", false)
        || blockedLinks.getOrDefault("*>" + to, false);
  }

  /**
   * Delivers the heartbeat duplicates kept for a new term to every controller. Called when a new
   * term begins.
   */
  void deliverKeptHeartbeats() {
    List<String> heartbeats = new ArrayList<>(heartbeatsKeptForNextTerm);
    heartbeatsKeptForNextTerm.clear();
    for (String body : heartbeats) {
      for (String controller : controllers) {
        keptHeartbeatsDelivered++;
        deliver(
            new Message("copy", new Endpoint(controller, 1), "POST", ProtocolPath.HEARTBEAT, body),
            NO_REPLY,
            random.nextLong(1_500_000L));
      }
    }
  }

  /**
   * Delivers a copy of each recorded direct command, like a network that repeats messages which
   * were executed and answered before.
   */
  void deliverCopiesOfExecutedCommands() {
    executedCommands.forEach(command -> deliver(command, NO_REPLY, LATENCY_MICROS));
  }

  private record Message(String from, Endpoint to, String method, String path, String body) {
    boolean isCommand() {
      return path.equals(ProtocolPath.COMMANDS);
    }

    boolean isHeartbeat() {
      return path.equals(ProtocolPath.HEARTBEAT);
    }
  }

  /**
   * Sends a request. A blocked link holds the request and delivers it when the link is restored.
   * The response handler is called exactly once, with status 0 if no response arrives within the
   * timeout.
   */
  void send(
      String from,
      Endpoint to,
      String method,
      String path,
      String body,
      long timeoutMicros,
      Consumer<Response> response) {
    Message message = new Message(from, to, method, path, body);
    FirstResponse firstResponse = new FirstResponse(response);
    events.at(timeoutMicros, () -> firstResponse.take(Response.NONE));
    if (message.isCommand() && checkDelegations) {
      delegationChecker.onCommandsSent(to.host(), body);
    }
    boolean responseIsLost =
        random.nextDouble() < lostResponseShare
            || (message.isCommand() && random.nextDouble() < lostCommandResponseShare);
    long delayMicros = delayMicros(message);
    Reply reply = new NetworkReply(message, responseIsLost, firstResponse);
    if (message.isCommand() && random.nextDouble() < duplicatedCommandShare) {
      deliver(message, NO_REPLY, 4_000_000L + random.nextLong(16_000_000L));
      deliver(message, NO_REPLY, 500_000L + random.nextLong(MAX_DUPLICATE_DELAY_MICROS));
    }
    if (message.isHeartbeat() && machinesWithLostHeartbeats.contains(from)
        || machinesWithLostCalls.contains(to.host())) {
      return;
    }
    if (message.isHeartbeat()) {
      duplicateHeartbeat(message);
    }
    deliver(message, reply, delayMicros);
    if (random.nextDouble() < repeatedShare) {
      deliver(message, NO_REPLY, delayMicros + 500_000L + random.nextLong(20_000_000L));
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

  private void duplicateHeartbeat(Message message) {
    if (random.nextDouble() < heartbeatShareKeptForNextTerm) {
      heartbeatsKeptForNextTerm.add(message.body);
    }
    if (random.nextDouble() < duplicatedHeartbeatShare) {
      Endpoint any = new Endpoint("n" + random.nextInt(controllers.size()), 1);
      Endpoint to = random.nextBoolean() ? message.to : any;
      deliver(
          new Message(message.from, to, message.method, message.path, message.body),
          NO_REPLY,
          1_000_000L + random.nextLong(MAX_DUPLICATE_DELAY_MICROS));
    }
  }

  private void deliver(Message message, Reply reply, long delayMicros) {
    events.at(
        delayMicros,
        () -> {
          if (isBlocked(message.from, message.to.host())) {
            deliver(message, reply, BLOCKED_RETRY_MICROS);
            return;
          }
          Service service = services.get(message.to);
          if (service != null) {
            service.handle(message.from, message.method, message.path, message.body, reply);
          }
        });
  }

  /** Passes on only the first outcome of a request, which may be the timeout. */
  private static final class FirstResponse {
    private final Consumer<Response> handler;
    private boolean answered;

    FirstResponse(Consumer<Response> handler) {
      this.handler = handler;
    }

    void take(Response response) {
      if (!answered) {
        answered = true;
        handler.accept(response);
      }
    }
  }

  /** Carries the response to a request back to its sender. */
  private final class NetworkReply implements Reply {
    private final Message message;
    private final boolean isLost;
    private final FirstResponse response;

    NetworkReply(Message message, boolean isLost, FirstResponse response) {
      this.message = message;
      this.isLost = isLost;
      this.response = response;
    }

    @Override
    public void send(int status, String body) {
      sendBack(new Response(status, body, false));
    }

    @Override
    public void sendClosing(int status, String body) {
      sendBack(new Response(status, body, true));
    }

    private void sendBack(Response sent) {
      if (recordsExecutedCommands && message.isCommand() && sent.status() == 200) {
        executedCommands.add(message);
      }
      events.at(
          LATENCY_MICROS + (message.isHeartbeat() ? extraHeartbeatResponseDelayMicros : 0),
          () -> {
            if (!isLost && !isBlocked(message.to.host(), message.from)) {
              response.take(sent);
            }
          });
    }
  }
}
