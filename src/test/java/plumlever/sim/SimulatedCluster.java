package plumlever.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import plumlever.election.DelegatedRenewal;
import plumlever.fleet.Fleet;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SharingSettings;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;
import plumlever.wire.ProtocolField;

/**
 * A simulated deployment: the service's controllers as they are, with emulators for all that is
 * round them, on one clock.
 */
public final class SimulatedCluster {
  private static final PlatformConfiguration.StateLimits STATE_LIMITS =
      new PlatformConfiguration.StateLimits(200, 25, 4096, 8);

  private static final long HEARTBEAT_MICROS = 3_000_000;
  private static final int CLOUD_REQUESTS_PER_S = 6;
  private static final int SOCKET_LIMIT = 1000;

  /** Checks that look at every job are made after every so many events. */
  private static final int EVENTS_BETWEEN_JOB_CHECKS = 64;

  final SplittableRandom random;
  final InvariantChecker invariants;
  final FakeStore store;
  final FakeCloud cloud;
  final SimulatedNetwork network;
  final Map<String, SimulatedController> controllers = new LinkedHashMap<>();

  /** The most sockets that any controller had in use: its workers' and its direct calls. */
  int mostSockets;

  /** What work costs the controllers' processors; null where it costs nothing. */
  Processor.Costs costs;

  /** Where a machine's worker takes direct calls. */
  Function<String, Endpoint> workerAt = id -> new Endpoint(id, 9);

  /**
   * Troubles are over since then; no question about a job may go unanswered for too long after it.
   */
  long calmSince = Long.MAX_VALUE;

  /** Cells whose controllers have another sharing file, or none, when they are started next. */
  final Map<String, String> digests = new HashMap<>();

  /** Transfers that one shard may have under way. */
  int mostMoving = 8;

  /** After how long a shard without a leader loses its machines. */
  long adoptAfterMicros = 600_000_000;

  /** The shards of a pool; empty where there is one shard. */
  private final List<SharingSettings.Shard> shards;

  private final EventQueue events = new EventQueue();

  public SimulatedCluster(
      long seed, int controllerCount, List<PlatformConfiguration.Team> teams, boolean money) {
    this(seed, controllerCount, teams, money, InvariantChecker.CANCEL_MICROS);
  }

  /**
   * @param cancelMicros what the controllers believe to have for a cancellation: for tests of the
   *     checks
   */
  SimulatedCluster(
      long seed,
      int controllerCount,
      List<PlatformConfiguration.Team> teams,
      boolean money,
      long cancelMicros) {
    this(seed, controllerCount, teams, money, cancelMicros, STATE_LIMITS);
  }

  /**
   * @param limits what the settings say of the state service
   */
  SimulatedCluster(
      long seed,
      int controllerCount,
      List<PlatformConfiguration.Team> teams,
      boolean money,
      long cancelMicros,
      PlatformConfiguration.StateLimits limits) {
    this(seed, controllerCount, teams, money, cancelMicros, limits, List.of());
  }

  /**
   * @param shards of the pool that the controllers form
   */
  SimulatedCluster(
      long seed,
      int controllerCount,
      List<PlatformConfiguration.Team> teams,
      boolean money,
      long cancelMicros,
      PlatformConfiguration.StateLimits limits,
      List<SharingSettings.Shard> shards) {
    this(seed, teams, shards);
    for (int index = 0; index < controllerCount; index++) {
      PlatformConfiguration platform =
          platform(index, controllerCount, teams, money, cancelMicros, limits);
      controllers.put(platform.label(), new SimulatedController(this, platform));
    }
  }

  /**
   * What is round controllers that run elsewhere, as processes of their own: whoever builds it
   * turns its clock.
   */
  SimulatedCluster(
      long seed, List<PlatformConfiguration.Team> teams, Set<String> controllersElsewhere) {
    this(seed, teams, List.of());
    controllersElsewhere.forEach(name -> controllers.put(name, null));
  }

  private SimulatedCluster(
      long seed, List<PlatformConfiguration.Team> teams, List<SharingSettings.Shard> shards) {
    this.shards = shards;
    random = new SplittableRandom(seed);
    invariants = new InvariantChecker(this, teams);
    store = new FakeStore(this);
    cloud = new FakeCloud(this);
    network =
        new SimulatedNetwork(
            events, random, controllers.keySet(), new DelegationChecker(this), shards.isEmpty());
    network.services.put(SimulatedNetwork.STATE, store);
    network.services.put(SimulatedNetwork.CLOUD, cloud);
  }

  private static PlatformConfiguration platform(
      int index,
      int controllerCount,
      List<PlatformConfiguration.Team> teams,
      boolean money,
      long cancelMicros,
      PlatformConfiguration.StateLimits limits) {
    List<PlatformConfiguration.PeerController> peers = new ArrayList<>();
    for (int peer = 0; peer < controllerCount; peer++) {
      if (peer != index) {
        peers.add(
            new PlatformConfiguration.PeerController(
                "n" + peer, "z" + peer, new Endpoint("n" + peer, 2)));
      }
    }
    List<PlatformConfiguration.Objective> objectives =
        money
            ? List.of(new PlatformConfiguration.Objective("price", null, 0, 1, 1))
            : List.of(new PlatformConfiguration.Objective("wait", "c0", 5, 1, 0.9));
    return new PlatformConfiguration(
        "n" + index,
        "z" + index,
        new Endpoint("n" + index, 1),
        new Endpoint("n" + index, 2),
        peers,
        SimulatedNetwork.CLOUD,
        SimulatedNetwork.STATE,
        teams,
        objectives,
        new PlatformConfiguration.Workers(HEARTBEAT_MICROS, FakeWorker.LEASE_MICROS, cancelMicros),
        limits,
        new PlatformConfiguration.CloudLimits(CLOUD_REQUESTS_PER_S, FakeCloud.LAG_MICROS),
        SOCKET_LIMIT);
  }

  long now() {
    return events.nowMicros();
  }

  void at(long delayMicros, Runnable action) {
    events.at(delayMicros, action);
  }

  /** Plays on for this long, checking the rules after every step. */
  public void play(double seconds) {
    events.runUntil(now() + (long) (seconds * 1e6), this::checkAfter);
  }

  /** Plays all that is due by then, without the checks of every step. */
  void turnTo(long micros) {
    events.runUntil(micros, number -> {});
  }

  private void checkAfter(long eventNumber) {
    invariants.check();
    if (eventNumber % EVENTS_BETWEEN_JOB_CHECKS == 0) {
      invariants.checkForgotten();
      invariants.checkWaiting();
    }
    checkOneLeader();
  }

  /** Not a rule of the protocol, but what the proof of the others starts from. */
  private void checkOneLeader() {
    Set<String> acting = new HashSet<>();
    for (SimulatedController controller : controllers.values()) {
      if (controller.controller() != null
          && controller.controller().mayAct()
          && !acting.add(shardOf(controller))) {
        invariants.broken.add("two leaders act at " + now() / 1e6);
      }
    }
  }

  /**
   * Nor is this a rule of the protocol: a lease is renewed only in the name of the latest leader,
   * but for what a delegate has read a moment ago.
   */
  void checkRenewal(String answer, boolean asLeader) {
    try {
      long term = Fleet.termOf(Json.parseObject(answer).path(ProtocolField.FENCING_TOKEN).asLong());
      if (term < store.term()
          && (asLeader || now() - store.termSince > DelegatedRenewal.VALID_MICROS)) {
        invariants.broken.add(
            "a lease was renewed in term "
                + term
                + " at "
                + now() / 1e6
                + ", after term "
                + store.term()
                + " began");
      }
    } catch (InvalidMessageException e) {
      throw new AssertionError("a controller's answer can't be read: " + answer, e);
    }
  }

  void noteSockets(int inUse) {
    mostSockets = Math.max(mostSockets, inUse);
  }

  boolean hasOneShard() {
    return shards.isEmpty();
  }

  /** What the sharing file of the controller says, if it has one. */
  Optional<SharingSettings> sharing(String label) {
    return shards.stream()
        .filter(shard -> shard.controllers().contains(label))
        .findFirst()
        .filter(own -> !digests.getOrDefault(own.name(), "").equals("none"))
        .map(
            own ->
                new SharingSettings(
                    1_000_000,
                    mostMoving,
                    adoptAfterMicros,
                    shards,
                    own,
                    digests.getOrDefault(own.name(), "same")));
  }

  private String shardOf(SimulatedController controller) {
    return sharing(controller.platform.label()).map(pool -> pool.ownShard().name()).orElse("");
  }

  /** The controllers of a shard. */
  List<SimulatedController> shard(String name) {
    return controllers.values().stream()
        .filter(controller -> shardOf(controller).equals(name))
        .toList();
  }

  /** The leader of a shard. */
  SimulatedController leader(String shard) {
    return shard(shard).stream().filter(SimulatedController::leads).findFirst().orElseThrow();
  }

  SimulatedController leader() {
    return controllers.values().stream()
        .filter(SimulatedController::leads)
        .findFirst()
        .orElseThrow();
  }
}
