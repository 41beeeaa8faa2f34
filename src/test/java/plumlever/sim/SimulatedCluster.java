package plumlever.sim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import plumlever.Controller;
import plumlever.concurrent.Loop;
import plumlever.election.DelegatedRenewal;
import plumlever.fleet.Fleet;
import plumlever.http.Caller;
import plumlever.http.Responder;
import plumlever.metrics.Logs;
import plumlever.settings.Endpoint;
import plumlever.settings.OperatorSettings;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;
import plumlever.settings.SharingSettings;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;

/**
 * A simulated deployment: the service's controllers as they are, with emulators for all that is
 * round them, on one clock.
 */
public final class SimulatedCluster {
  /** Answers a request, now or later. */
  public interface Reply {
    void send(int status, String body);

    /** The connection ends with the answer. */
    default void sendClosing(int status, String body) {
      send(status, body);
    }
  }

  /** A emulator that takes requests. */
  public interface Service {
    void handle(String from, String method, String path, String body, Reply reply);
  }

  private record Event(long at, long seq, Runnable action) {}

  static final long LATENCY_MICROS = 3_000;
  static final Endpoint STATE = new Endpoint("state", 1);
  static final Endpoint CLOUD = new Endpoint("cloud", 1);

  final SplittableRandom random;
  final InvariantChecker invariants;
  final DelegationChecker delegations = new DelegationChecker(this);
  final FakeStore store;
  final FakeCloud cloud;
  final Map<String, Member> members = new LinkedHashMap<>();
  final Map<Endpoint, Service> services = new HashMap<>();

  /** Pairs {@code from>to} whose messages are held. */
  final Map<String, Boolean> cuts = new HashMap<>();

  /** Shares of calls that lose their answer, are executed late, or are executed once more later. */
  double loseAnswer;

  double executeLate;
  double repeat;

  /** Share of direct commands that come once more, late. */
  double copyCommands;

  /** Extra time that direct commands are under way. */
  long slowCommandsMicros;

  /** Share of direct commands that are held back, for up to the time below. */
  double holdCommands;

  long holdCommandsMicros;

  /** Share of direct commands whose answer is lost. */
  double loseCommandAnswers;

  /** Share of heartbeats of which a copy comes late, at any controller. */
  double copyHeartbeats;

  /**
   * Share of heartbeats of which a copy is kept, and comes to every controller when a new leader
   * begins.
   */
  double copyHeartbeatsForNext;

  private final List<String> keptHeartbeats = new ArrayList<>();

  /** How many copies a new leader was sent. */
  int copiesAtNext;

  /** Machines whose heartbeats reach no controller, while direct commands reach them. */
  final java.util.Set<String> mute = new java.util.HashSet<>();

  /** Longest time a copy of a heartbeat comes late: well over a lease. */
  static final long COPY_MICROS = 3 * FakeWorker.LEASE_MICROS;

  /**
   * The most sockets that any controller had in use: workers that heartbeat to it, and its direct
   * calls under way.
   */
  int mostSockets;

  /** What work costs the controllers' processors; null where it costs nothing. */
  Processor.Costs costs;

  /** Where a machine's worker takes direct calls. */
  java.util.function.Function<String, Endpoint> workerAt = id -> new Endpoint(id, 9);

  /**
   * Troubles are over since then; no question about a job may go unanswered for too long after it.
   */
  long calmSince = Long.MAX_VALUE;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.seq, b.seq));
  private long seq;
  private long now = 1_000_000_000L;

  public SimulatedCluster(
      long seed, int nodes, List<PlatformConfiguration.Team> teams, boolean money) {
    this(seed, nodes, teams, money, InvariantChecker.CANCEL_MICROS);
  }

  /**
   * @param cancelMicros what the controllers believe to have for a cancellation: for tests of the
   *     checks
   */
  SimulatedCluster(
      long seed,
      int nodes,
      List<PlatformConfiguration.Team> teams,
      boolean money,
      long cancelMicros) {
    this(
        seed,
        nodes,
        teams,
        money,
        cancelMicros,
        new PlatformConfiguration.StateLimits(200, 25, 4096, 8));
  }

  /**
   * @param limits what the settings say of the state service
   */
  SimulatedCluster(
      long seed,
      int nodes,
      List<PlatformConfiguration.Team> teams,
      boolean money,
      long cancelMicros,
      PlatformConfiguration.StateLimits limits) {
    this(seed, nodes, teams, money, cancelMicros, limits, List.of());
  }

  /**
   * @param cells of the pool that the controllers form
   */
  SimulatedCluster(
      long seed,
      int nodes,
      List<PlatformConfiguration.Team> teams,
      boolean money,
      long cancelMicros,
      PlatformConfiguration.StateLimits limits,
      List<SharingSettings.Cell> cells) {
    this.cells = cells;
    random = new SplittableRandom(seed);
    invariants = new InvariantChecker(this, teams);
    store = new FakeStore(this);
    cloud = new FakeCloud(this);
    services.put(STATE, store);
    services.put(CLOUD, cloud);
    for (int i = 0; i < nodes; i++) {
      List<PlatformConfiguration.PeerController> seeds = new ArrayList<>();
      for (int j = 0; j < nodes; j++) {
        if (j != i) {
          seeds.add(
              new PlatformConfiguration.PeerController("n" + j, "z" + j, new Endpoint("n" + j, 2)));
        }
      }
      List<PlatformConfiguration.Objective> aims =
          money
              ? List.of(new PlatformConfiguration.Objective("price", null, 0, 1, 1))
              : List.of(new PlatformConfiguration.Objective("wait", "c0", 5, 1, 0.9));
      PlatformConfiguration platform =
          new PlatformConfiguration(
              "n" + i,
              "z" + i,
              new Endpoint("n" + i, 1),
              new Endpoint("n" + i, 2),
              seeds,
              CLOUD,
              STATE,
              teams,
              aims,
              new PlatformConfiguration.Workers(3_000_000, FakeWorker.LEASE_MICROS, cancelMicros),
              limits,
              new PlatformConfiguration.CloudLimits(6, FakeCloud.LAG_MICROS),
              1000);
      members.put(platform.label(), new Member(platform));
    }
  }

  long now() {
    return now;
  }

  void at(long delay, Runnable action) {
    events.add(new Event(now + Math.max(0, delay), seq++, action));
  }

  /** Plays on for this long, checking the rules after every step. */
  public void play(double seconds) {
    long end = now + (long) (seconds * 1e6);
    while (!events.isEmpty() && events.peek().at <= end) {
      Event event = events.poll();
      now = event.at;
      event.action.run();
      invariants.check();
      if (event.seq % 64 == 0) {
        invariants.checkForgotten();
        invariants.checkWaiting();
      }
      checkOneLeader();
    }
    now = end;
  }

  /**
   * A world round controllers that run elsewhere, as processes of their own: whoever builds it
   * turns its clock.
   */
  SimulatedCluster(long seed, List<PlatformConfiguration.Team> teams, List<String> nodes) {
    cells = List.of();
    random = new SplittableRandom(seed);
    invariants = new InvariantChecker(this, teams);
    store = new FakeStore(this);
    cloud = new FakeCloud(this);
    nodes.forEach(n -> members.put(n, null));
  }

  /** Plays all that is due by then, without the checks of every step. */
  void turnTo(long micros) {
    while (!events.isEmpty() && events.peek().at <= micros) {
      Event event = events.poll();
      now = Math.max(now, event.at);
      event.action.run();
    }
    now = Math.max(now, micros);
  }

  /** Not a rule of the protocol, but what the proof of the others starts from. */
  private void checkOneLeader() {
    Set<String> acting = new HashSet<>();
    for (Member member : members.values()) {
      if (member.node != null && member.node.mayAct() && !acting.add(cellOf(member))) {
        invariants.broken.add("two leaders act at " + now / 1e6);
      }
    }
  }

  private String cellOf(Member member) {
    return sharing(member.platform.label()).map(pool -> pool.ownCell().name()).orElse("");
  }

  /** The cells of a pool by the indexes of their controllers; empty where there is one cell. */
  private final List<SharingSettings.Cell> cells;

  /** Cells whose controllers have another sharing file, or none, when they are started next. */
  final Map<String, String> digests = new HashMap<>();

  /** Transfers that one cell may have under way. */
  int mostMoving = 8;

  /** After how long a cell without a leader loses its machines. */
  long adoptAfterMicros = 600_000_000;

  private Optional<SharingSettings> sharing(String label) {
    return cells.stream()
        .filter(cell -> cell.controllers().contains(label))
        .findFirst()
        .filter(own -> !digests.getOrDefault(own.name(), "").equals("none"))
        .map(
            own ->
                new SharingSettings(
                    1_000_000,
                    mostMoving,
                    adoptAfterMicros,
                    cells,
                    own,
                    digests.getOrDefault(own.name(), "same")));
  }

  /** The controllers of a cell. */
  List<Member> cell(String name) {
    return members.values().stream().filter(member -> cellOf(member).equals(name)).toList();
  }

  /** The leader of a cell. */
  Member leader(String cell) {
    return cell(cell).stream().filter(Member::leads).findFirst().orElseThrow();
  }

  /**
   * Nor is this a rule of the protocol: a lease is renewed only in the name of the latest leader,
   * but for what a delegate has read a moment ago.
   */
  private void checkInLeadership(String answer, boolean asLeader) {
    try {
      long term = Fleet.termOf(Json.parseObject(answer).path("baton").asLong());
      if (term < store.term()
          && (asLeader || now - store.termSince > DelegatedRenewal.VALID_MICROS)) {
        invariants.broken.add(
            "a lease was renewed in term "
                + term
                + " at "
                + now / 1e6
                + ", after term "
                + store.term()
                + " began");
      }
    } catch (InvalidMessageException e) {
      throw new AssertionError("a node's answer can't be read: " + answer, e);
    }
  }

  /** A term has begun. */
  void newTerm() {
    List<String> copies = new ArrayList<>(keptHeartbeats);
    keptHeartbeats.clear();
    for (String body : copies) {
      for (String node : members.keySet()) {
        copiesAtNext++;
        deliver(
            "copy",
            new Endpoint(node, 1),
            "POST",
            "/hello",
            body,
            (st, t) -> {},
            random.nextLong(1_500_000L));
      }
    }
  }

  Member leader() {
    return members.values().stream().filter(Member::leads).findFirst().orElseThrow();
  }

  void cut(String text, String other, boolean on) {
    cuts.put(text + ">" + other, on);
    cuts.put(other + ">" + text, on);
  }

  private boolean isCut(String from, String to) {
    return cuts.getOrDefault(from + ">" + to, false)
        || cuts.getOrDefault(from + ">*", false)
        || cuts.getOrDefault("*>" + to, false);
  }

  /** A request over the network; a cut holds it and delivers it, late, when the cut ends. */
  void send(
      String from,
      Endpoint to,
      String method,
      String path,
      String body,
      long timeout,
      Consumer<Object[]> answer) {
    boolean[] answered = new boolean[1];
    at(
        timeout,
        () -> {
          if (!answered[0]) {
            answered[0] = true;
            answer.accept(new Object[] {0, ""});
          }
        });
    if (path.equals("/orders") && cells.isEmpty()) {
      delegations.sent(to.host(), body);
    }
    boolean lose =
        random.nextDouble() < loseAnswer
            || (path.equals("/orders") && random.nextDouble() < loseCommandAnswers);
    long delay =
        LATENCY_MICROS + random.nextInt(2_000) + (path.equals("/orders") ? slowCommandsMicros : 0);
    if (path.equals("/orders") && holdCommands > 0 && random.nextDouble() < holdCommands) {
      delay += random.nextLong(holdCommandsMicros);
    }
    if (random.nextDouble() < executeLate) {
      delay += 1_000_000L + random.nextLong(60_000_000L);
    }
    Reply reply =
        new Reply() {
          @Override
          public void send(int status, String text) {
            back(status, text, false);
          }

          @Override
          public void sendClosing(int status, String text) {
            back(status, text, true);
          }

          private void back(int status, String text, boolean closing) {
            at(
                LATENCY_MICROS,
                () -> {
                  if (!answered[0] && !lose && !isCut(to.host(), from)) {
                    answered[0] = true;
                    answer.accept(new Object[] {status, text, closing});
                  }
                });
          }
        };
    if (path.equals("/orders") && random.nextDouble() < copyCommands) {
      deliver(
          from, to, method, path, body, (st, t) -> {}, 4_000_000L + random.nextLong(16_000_000L));
      deliver(from, to, method, path, body, (st, t) -> {}, 500_000L + random.nextLong(COPY_MICROS));
    }
    if (path.equals("/hello") && mute.contains(from)) {
      return;
    }
    if (path.equals("/hello") && random.nextDouble() < copyHeartbeatsForNext) {
      keptHeartbeats.add(body);
    }
    if (path.equals("/hello") && random.nextDouble() < copyHeartbeats) {
      Endpoint any = new Endpoint("n" + random.nextInt(members.size()), 1);
      deliver(
          from,
          random.nextBoolean() ? to : any,
          method,
          path,
          body,
          (st, t) -> {},
          1_000_000L + random.nextLong(COPY_MICROS));
    }
    deliver(from, to, method, path, body, reply, delay);
    if (random.nextDouble() < repeat) {
      deliver(
          from,
          to,
          method,
          path,
          body,
          (s, t) -> {},
          delay + 500_000L + random.nextLong(20_000_000L));
    }
  }

  private void deliver(
      String from, Endpoint to, String method, String path, String body, Reply reply, long delay) {
    at(
        delay,
        () -> {
          if (isCut(from, to.host())) {
            deliver(from, to, method, path, body, reply, 500_000);
            return;
          }
          Service service = services.get(to);
          if (service != null) {
            service.handle(from, method, path, body, reply);
          }
        });
  }

  /** One controller, which can be killed and started again. */
  final class Member {
    final PlatformConfiguration platform;
    private Controller node;
    private int life;
    private long frozenUntil;
    private long stalledUntil;
    private int calls;

    /** The thread that decides, and leadership's. */
    private Processor decisions;

    private Processor leadership;

    /** False: leadership has no thread of its own, as if nothing had been learnt. */
    boolean electionApart = true;

    Member(PlatformConfiguration platform) {
      this.platform = platform;
      start();
    }

    Controller node() {
      return node;
    }

    boolean leads() {
      return node != null && node.leader() != null;
    }

    void start() {
      int mine = ++life;
      // The leadership's thread gets on whatever the other has to do, but on the same processor, so
      // at half the speed.
      decisions =
          new Processor(
              SimulatedCluster.this,
              costs,
              1,
              () -> node == null ? 0 : node.metrics().counter("candidates_evaluated"));
      leadership =
          electionApart ? new Processor(SimulatedCluster.this, costs, 2, () -> 0L) : decisions;
      Loop loop = loop(mine, decisions);
      Loop electionLoop = loop(mine, leadership);
      node =
          new Controller(
              loop,
              caller(mine, decisions),
              electionLoop,
              caller(mine, leadership),
              platform,
              new OperatorSettings(SchedulerParameters.defaults(), sharing(platform.label())),
              random.nextLong(),
              Logs.SERVICE);
      Controller current = node;
      services.put(
          platform.bind(),
          (from, method, path, body, reply) ->
              awake(
                  mine,
                  decisions,
                  path.equals("/hello") ? Processor.Work.HEARTBEAT : Processor.Work.REQUEST,
                  () ->
                      current
                          .router()
                          .handle(
                              method,
                              path,
                              bytes(body),
                              new Responder() {
                                private boolean closing;

                                @Override
                                public void closing() {
                                  closing = true;
                                }

                                @Override
                                public void send(int status, String json, int retry) {
                                  if (status == 200 && path.equals("/hello") && cells.isEmpty()) {
                                    checkInLeadership(json, current.leader() != null);
                                  }
                                  if (life == mine && closing) {
                                    reply.sendClosing(status, json);
                                  } else if (life == mine) {
                                    reply.send(status, json);
                                  }
                                }
                              })));
      services.put(
          platform.peerBind(),
          (from, method, path, body, reply) -> {
            awake(
                mine,
                decisions,
                Processor.Work.ANSWER,
                () ->
                    current.peer(
                        method,
                        path,
                        bytes(body),
                        (status, json, retry) -> reply.send(status, json)));
          });
      at(
          0,
          () -> {
            if (life == mine) {
              current.start();
            }
          });
    }

    private Loop loop(int mine, Processor thread) {
      return new Loop() {
        @Override
        public long nowMicros() {
          return now;
        }

        @Override
        public long wallMicros() {
          return 1_700_000_000_000_000L + now;
        }

        @Override
        public Timer after(long delay, Runnable action) {
          boolean[] off = new boolean[1];
          at(
              delay,
              () ->
                  awake(
                      mine,
                      thread,
                      Processor.Work.TIMER,
                      () -> {
                        if (!off[0]) {
                          action.run();
                        }
                      }));
          return () -> off[0] = true;
        }

        @Override
        public void execute(Runnable action) {
          after(0, action);
        }
      };
    }

    private Caller caller(int mine, Processor thread) {
      return (to, method, path, body, timeout, answer) -> {
        boolean direct = path.equals("/orders");
        if (direct) {
          calls++;
          mostSockets = Math.max(mostSockets, calls + cloud.reportingTo(platform.label()));
        }
        send(
            platform.label(),
            to,
            method,
            path,
            body == null ? null : new String(body, StandardCharsets.ISO_8859_1),
            timeout,
            a ->
                awake(
                    mine,
                    thread,
                    Processor.Work.ANSWER,
                    () -> {
                      calls -= direct ? 1 : 0;
                      answer.take(
                          (Integer) a[0], ((String) a[1]).getBytes(StandardCharsets.ISO_8859_1));
                    }));
      };
    }

    /**
     * Runs it in this life, in its turn; a process that stands still gets to what has arrived when
     * it wakes.
     */
    private void awake(int ofLife, Processor thread, Processor.Work work, Runnable action) {
      if (life != ofLife) {
        return;
      }
      long held = thread == decisions ? Math.max(frozenUntil, stalledUntil) : frozenUntil;
      if (now < held) {
        at(held - now, () -> awake(ofLife, thread, work, action));
      } else {
        thread.take(
            work,
            () -> {
              if (life == ofLife) {
                action.run();
              }
            });
      }
    }

    /** What the thread that decides does takes this many times as long. */
    void slowDown(double times) {
      decisions.slower(times);
    }

    /** The thread that decides stands still; leadership's goes on. */
    void stall(double seconds) {
      stalledUntil = now + (long) (seconds * 1e6);
    }

    /** It stands still while its clocks run on. */
    void freeze(double seconds) {
      frozenUntil = now + (long) (seconds * 1e6);
    }

    void kill() {
      life++;
      frozenUntil = 0;
      stalledUntil = 0;
      calls = 0;
      node = null;
      services.remove(platform.bind());
      services.remove(platform.peerBind());
    }

    void crash(double backAfterS) {
      kill();
      at(
          (long) (backAfterS * 1e6),
          () -> {
            if (node == null) {
              start();
            }
          });
    }
  }

  private static byte[] bytes(String text) {
    return text == null ? new byte[0] : text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
