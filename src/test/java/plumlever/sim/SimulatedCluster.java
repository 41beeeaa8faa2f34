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
 * A simulated deployment: the real controllers of the service with emulators of the state service,
 * the cloud, the workers and the network, on one simulated clock.
 */
public final class SimulatedCluster {
  private static final PlatformConfiguration.StateLimits STATE_LIMITS =
      new PlatformConfiguration.StateLimits(200, 25, 4096, 8);

  private static final long HEARTBEAT_MICROS = 3_000_000;
  private static final int CLOUD_REQUESTS_PER_S = 6;
  private static final int SOCKET_LIMIT = 1000;

  /** A class of jobs for which no capacity is kept free, where the price is minimized. */
  static final String PATIENT_CLASS = "patient";

  /** Number of events between two runs of the checks that go through every job. */
  private static final int EVENTS_BETWEEN_JOB_CHECKS = 64;

  final SplittableRandom random;
  final InvariantChecker invariants;
  final FakeStore store;
  final FakeCloud cloud;
  final SimulatedNetwork network;
  final LeaseExpiryChecker leaseExpiryChecker;
  final Map<String, SimulatedController> controllers = new LinkedHashMap<>();

  /**
   * Highest number of sockets in use at one controller so far: connections from workers and open
   * calls to workers.
   */
  int maxSocketsInUse;

  /** Simulated processing times of the controllers' work; null if work takes no time. */
  Processor.Costs costs;

  /** Maps a machine id to the endpoint at which the machine's worker receives calls. */
  Function<String, Endpoint> workerEndpoint = id -> new Endpoint(id, 9);

  /**
   * Simulated time in microseconds at which all injected faults ended. From then on queries about
   * jobs must be answered in time, and no job may wait for long while a suitable machine has free
   * capacity.
   */
  long faultsEndedAtMicros = Long.MAX_VALUE;

  /**
   * By shard, the digest of the sharing file with which the shard's controllers start, if it
   * differs from the other shards; "none" if the controllers start without a sharing file.
   */
  final Map<String, String> sharingDigestByShard = new HashMap<>();

  /** Ids of jobs whose tasks fail on every machine. */
  final Set<String> failingJobs = new HashSet<>();

  /** Maximum number of machine transfers in progress per shard. */
  int maxTransfers = 8;

  /** Time after which other shards adopt the machines of a shard without a leader. */
  long adoptionDelayMicros = 600_000_000;

  /** The shards of the pool; empty if the deployment has a single shard. */
  private final List<SharingSettings.Shard> shards;

  private final EventQueue events = new EventQueue();

  public SimulatedCluster(
      long seed,
      int controllerCount,
      List<PlatformConfiguration.Team> teams,
      boolean minimizesPrice) {
    this(seed, controllerCount, teams, minimizesPrice, InvariantChecker.CANCEL_MICROS);
  }

  /**
   * @param cancelMicros time within which the tasks of a cancelled job have to end, in the
   *     controllers' settings; tests of the invariant checks set a value other than {@link
   *     InvariantChecker#CANCEL_MICROS}
   */
  SimulatedCluster(
      long seed,
      int controllerCount,
      List<PlatformConfiguration.Team> teams,
      boolean minimizesPrice,
      long cancelMicros) {
    this(seed, controllerCount, teams, minimizesPrice, cancelMicros, STATE_LIMITS);
  }

  /**
   * @param limits the limits of the state service in the controllers' settings
   */
  SimulatedCluster(
      long seed,
      int controllerCount,
      List<PlatformConfiguration.Team> teams,
      boolean minimizesPrice,
      long cancelMicros,
      PlatformConfiguration.StateLimits limits) {
    this(seed, controllerCount, teams, minimizesPrice, cancelMicros, limits, List.of());
  }

  /**
   * @param shards the shards of the pool that the controllers form
   */
  SimulatedCluster(
      long seed,
      int controllerCount,
      List<PlatformConfiguration.Team> teams,
      boolean minimizesPrice,
      long cancelMicros,
      PlatformConfiguration.StateLimits limits,
      List<SharingSettings.Shard> shards) {
    this(seed, teams, shards);
    for (int index = 0; index < controllerCount; index++) {
      PlatformConfiguration platform =
          platform(index, controllerCount, teams, minimizesPrice, cancelMicros, limits);
      controllers.put(platform.label(), new SimulatedController(this, platform));
    }
  }

  /**
   * Creates only the emulators, for controllers that run as separate processes. The caller advances
   * the clock with {@link #advanceTo}.
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
    leaseExpiryChecker = new LeaseExpiryChecker(this);
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
      boolean minimizesPrice,
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
        minimizesPrice
            ? List.of(
                new PlatformConfiguration.Objective("price", null, 0, 1, 1),
                new PlatformConfiguration.Objective("wait", PATIENT_CLASS, 250, 1, 0.9))
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
        new PlatformConfiguration.CloudLimits(CLOUD_REQUESTS_PER_S, FakeCloud.LIST_LAG_MICROS),
        SOCKET_LIMIT);
  }

  long now() {
    return events.nowMicros();
  }

  void at(long delayMicros, Runnable action) {
    events.at(delayMicros, action);
  }

  /**
   * Advances the clock by the given time and checks the rules of the protocol after every event.
   */
  public void runFor(double seconds) {
    events.runUntil(now() + (long) (seconds * 1e6), this::checkAfterEvent);
  }

  /** Runs all events that are due by the given time, without checking the rules of the protocol. */
  void advanceTo(long micros) {
    events.runUntil(micros, number -> {});
  }

  private void checkAfterEvent(long eventNumber) {
    invariants.check();
    if (eventNumber % EVENTS_BETWEEN_JOB_CHECKS == 0) {
      invariants.checkAnswered();
      invariants.checkWaiting();
    }
    checkOneLeader();
  }

  /**
   * Checks that at most one controller of each shard acts as leader. This is not a rule of the
   * protocol, but the proof that the rules hold depends on it.
   */
  private void checkOneLeader() {
    Set<String> acting = new HashSet<>();
    for (SimulatedController controller : controllers.values()) {
      if (controller.controller() != null
          && controller.controller().mayAct()
          && !acting.add(shardOf(controller))) {
        invariants.violations.add("two leaders of one shard act at " + now() / 1e6);
      }
    }
  }

  /**
   * Checks that a worker lease is renewed only in the latest term. The exception is a controller to
   * which the leader of an earlier term delegated renewals: it may renew leases for {@link
   * DelegatedRenewal#VALID_MICROS} after a new term began, because the delegation that it read
   * stays valid that long. This is not a rule of the protocol, but the proof that the rules hold
   * depends on it.
   */
  void checkRenewal(String response, boolean asLeader) {
    try {
      long term =
          Fleet.termOf(Json.parseObject(response).path(ProtocolField.FENCING_TOKEN).asLong());
      if (term < store.term()
          && (asLeader || now() - store.termStartMicros > DelegatedRenewal.VALID_MICROS)) {
        invariants.violations.add(
            "a worker lease was renewed in term "
                + term
                + " at "
                + now() / 1e6
                + ", after term "
                + store.term()
                + " began");
      }
    } catch (InvalidMessageException e) {
      throw new AssertionError("invalid heartbeat response of a controller: " + response, e);
    }
  }

  void recordSockets(int inUse) {
    maxSocketsInUse = Math.max(maxSocketsInUse, inUse);
  }

  boolean hasOneShard() {
    return shards.isEmpty();
  }

  /** Returns the sharing settings of the controller, or empty if it has no sharing file. */
  Optional<SharingSettings> sharing(String label) {
    return shards.stream()
        .filter(shard -> shard.controllers().contains(label))
        .findFirst()
        .filter(own -> !sharingDigestByShard.getOrDefault(own.name(), "").equals("none"))
        .map(
            own ->
                new SharingSettings(
                    1_000_000,
                    maxTransfers,
                    adoptionDelayMicros,
                    shards,
                    own,
                    sharingDigestByShard.getOrDefault(own.name(), "same")));
  }

  private String shardOf(SimulatedController controller) {
    return sharing(controller.platform.label()).map(pool -> pool.ownShard().name()).orElse("");
  }

  /** Returns the controllers of the shard. */
  List<SimulatedController> shard(String name) {
    return controllers.values().stream()
        .filter(controller -> shardOf(controller).equals(name))
        .toList();
  }

  /** Returns the leader of the shard. */
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
