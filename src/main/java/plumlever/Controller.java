package plumlever;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import plumlever.cloud.CloudClient;
import plumlever.cloud.MachineTypeRefresh;
import plumlever.cloud.PriceBook;
import plumlever.concurrent.Loop;
import plumlever.concurrent.RecurringTask;
import plumlever.concurrent.Scope;
import plumlever.election.DelegatedRenewal;
import plumlever.election.ElectionListener;
import plumlever.election.LeaderElection;
import plumlever.election.PoolTerms;
import plumlever.election.Term;
import plumlever.http.Caller;
import plumlever.http.DelegatedHeartbeats;
import plumlever.http.JobForwarder;
import plumlever.http.PoolRequests;
import plumlever.http.RequestRouter;
import plumlever.http.Responder;
import plumlever.http.UserApi;
import plumlever.leader.Leader;
import plumlever.leader.context.Context;
import plumlever.lease.LeaseRenewal;
import plumlever.lease.RenewalLimit;
import plumlever.metrics.Logs;
import plumlever.metrics.Metrics;
import plumlever.peer.PeerStatus;
import plumlever.peer.Peers;
import plumlever.settings.OperatorSettings;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;
import plumlever.settings.SharingSettings;
import plumlever.sharing.PoolView;
import plumlever.store.JobRecordCache;
import plumlever.store.JobStore;
import plumlever.store.KeySpace;
import plumlever.store.StateClient;

/** One controller, without its sockets: everything lives on the loop it is given. */
public final class Controller implements AutoCloseable {
  private static final long SUMMARY_MICROS = 60_000_000;

  /** Longer than it takes any controller to notice a common outage and tell its peers. */
  private static final long ALONE_MICROS = 3_000_000;

  private static final long PEER_FRESH_MICROS = 3_500_000;

  /** Counts are for display only and may be this old. */
  private static final long COUNTS_MICROS = 5_000_000;

  private static final long LATE_MICROS = 500_000;
  private static final long ON_TIME_MICROS = 200_000;
  private static final long LISTEN_MICROS = 1_000_000;

  /**
   * For as long as peers are told: the state service may have refused one of them all that time.
   */
  private static final long CONFIRMED_CANCELLATION_MICROS = 20_000_000;

  private static final long UNKNOWN_MACHINE_MICROS = 5_000_000;
  private static final long LIVENESS_TICK_MICROS = 500_000;

  private final Loop loop;
  private final Optional<SharingSettings> sharing;
  private final PlatformConfiguration platform;
  private final Metrics metrics;
  private final Scope scope = new Scope();
  private final StateClient store;
  private final MachineTypeRefresh machineTypes;
  private final PriceBook prices;
  private final LeaderElection election;
  private final Peers peers;
  private final RequestRouter router;
  private final Function<Term, Context> contexts;
  private final JobRecordCache jobRecords;
  private final DelegatedRenewal delegatedRenewal;
  private final Map<String, Long> unknownMachines = new HashMap<>();

  /** Jobs whose users were told through this controller that they are cancelled, by when. */
  private final Map<String, Long> confirmedCancellations = new LinkedHashMap<>();

  private Leader leader;
  private long livenessTickDueMicros;
  private long lateMicros;

  /** A controller that does everything on one loop. */
  public Controller(
      Loop loop,
      Caller caller,
      PlatformConfiguration platform,
      SchedulerParameters parameters,
      long seed) {
    this(
        loop,
        caller,
        loop,
        caller,
        platform,
        new OperatorSettings(parameters, Optional.empty()),
        seed,
        Logs.SERVICE);
  }

  /**
   * @param electionLoop what leadership runs on, with its own way out, so that nothing here delays
   *     it
   */
  public Controller(
      Loop loop,
      Caller bare,
      Loop electionLoop,
      Caller electionCaller,
      PlatformConfiguration platform,
      OperatorSettings settings,
      long seed,
      Logs logs) {
    SchedulerParameters parameters = settings.parameters();
    this.sharing = settings.sharing();
    KeySpace keySpace =
        sharing.map(pool -> KeySpace.under(pool.ownCell().prefix())).orElse(KeySpace.ROOT);
    this.loop = loop;
    this.platform = platform;
    this.metrics = new Metrics(logs);
    Caller caller = new MeteredCaller(bare, loop, metrics, platform);
    this.store =
        new StateClient(loop, caller, platform.state(), platform.stateLimits(), metrics, keySpace);
    CloudClient cloud =
        new CloudClient(loop, caller, platform.cloud(), platform.cloudLimits(), metrics);
    this.prices = new PriceBook(parameters);
    this.machineTypes = new MachineTypeRefresh(loop, cloud, store, prices, logs);
    JobStore layout =
        new JobStore(
            store.limits(),
            sharing
                .map(pool -> pool.otherCells().stream().map(SharingSettings.Cell::prefix).toList())
                .orElse(List.of()));
    StateClient electionStore =
        new StateClient(
            electionLoop,
            electionCaller,
            platform.state(),
            platform.stateLimits(),
            metrics,
            keySpace);
    Optional<PoolTerms> poolTerms =
        sharing.map(
            pool ->
                new PoolTerms(
                    electionStore, PoolView.COUNTER, PoolView.leaderKey(pool.ownCell().name())));
    this.election =
        new LeaderElection(
            platform.label(),
            electionLoop,
            electionStore,
            parameters,
            new ElectionListener() {
              @Override
              public void elected(Term term) {
                loop.execute(() -> lead(term));
              }

              @Override
              public void steppedDown(Term term) {
                loop.execute(Controller.this::stopLeading);
              }

              @Override
              public void whenTurning(Runnable action) {
                loop.execute(action);
              }
            },
            poolTerms,
            seed,
            logs);
    boolean moneyMatters = platform.moneyMatters(parameters.rentalMicros());
    this.contexts =
        term ->
            new Context(
                loop,
                platform,
                parameters,
                election,
                term,
                store,
                layout,
                cloud,
                prices,
                caller,
                metrics,
                this::workersElsewhere,
                (prefix, then) ->
                    electionLoop.execute(
                        () ->
                            electionStore.list(
                                prefix,
                                StateClient.RequestPriority.URGENT,
                                listing -> loop.execute(() -> then.accept(listing)))),
                this::latenessMicros,
                logs,
                moneyMatters,
                sharing);
    this.peers =
        new Peers(
            loop,
            caller,
            platform,
            this::status,
            s -> {
              if (leader != null) {
                leader.cancellationsConfirmed(s.confirmedCancellations());
              }
            });
    this.jobRecords = new JobRecordCache(loop, store, layout, metrics);
    this.delegatedRenewal = new DelegatedRenewal(loop, store, election, logs);
    UserApi users =
        new UserApi(
            loop,
            store,
            jobRecords,
            layout,
            prices,
            platform,
            metrics,
            new UserApi.LeaderView() {
              @Override
              public void jobCancelled(String uid) {
                confirmedCancellations.put(uid, loop.nowMicros());
                if (leader != null) {
                  leader.jobCancelled(uid);
                }
              }

              @Override
              public int[] counts(String uid) {
                return Controller.this.counts(uid);
              }

              @Override
              public boolean isRefusedAlone() {
                return Controller.this.isRefusedAlone();
              }

              @Override
              public boolean ineligible() {
                return election.ineligible();
              }
            },
            sharing.map(pool -> new JobForwarder(loop, store, caller, platform, pool)));
    this.router =
        new RequestRouter(
            loop,
            users,
            new RequestRouter.House() {
              @Override
              public Leader leader() {
                return leader != null && leader.mayAct() ? leader : null;
              }

              @Override
              public String leaderLabel() {
                return election.leaderLabel();
              }

              @Override
              public boolean canTakeRequests() {
                return !election.ineligible() && !isRefusedAlone() && !othersAreSooner();
              }

              @Override
              public void unknownMachine(String machineId) {
                unknownMachines.put(machineId, loop.nowMicros());
              }
            },
            new DelegatedHeartbeats(
                loop,
                delegatedRenewal,
                jobRecords,
                new LeaseRenewal(new RenewalLimit(platform.workers())),
                metrics,
                logs),
            metrics);
  }

  /** Starts serving: the election, the watch on peers, and all recurring tasks. */
  public void start() {
    scope.own(election);
    election.start();
    scope.own(machineTypes.task()).start();
    scope.own(peers.duty()).start();
    scope.own(delegatedRenewal.duty()).start();
    scope.own(new RecurringTask("state service probe", loop, this::listen)).start();
    scope.own(new RecurringTask("liveness tick", loop, this::livenessTick)).start();
    scope
        .own(
            new RecurringTask(
                "summary",
                loop,
                () -> {
                  metrics.logSummary();
                  return SUMMARY_MICROS;
                }))
        .start();
  }

  /**
   * A term that has ended by the time this thread gets to it is not begun: another may be under way
   * elsewhere.
   */
  private void lead(Term term) {
    stopLeading();
    if (term.mayAct()) {
      store.leads(true);
      leader = new Leader(contexts.apply(term));
      leader.start();
    }
  }

  private void stopLeading() {
    if (leader != null) {
      store.leads(false);
      leader.close();
      leader = null;
    }
  }

  public RequestRouter router() {
    return router;
  }

  /** Takes a request of another controller. */
  public void peer(String method, String path, byte[] body, Responder out) {
    if (sharing.isPresent() && path.equals(PoolRequests.RELAY)) {
      PoolRequests.relay(body, leader, out);
    } else if (sharing.isPresent() && path.equals(PoolRequests.TRANSFER)) {
      PoolRequests.transfer(body, leader, out);
    } else if (sharing.isPresent() && path.equals(PoolRequests.FORWARD)) {
      PoolRequests.forwarded(body, router, out);
    } else {
      peers.handle(method, path, body, out);
    }
  }

  public Leader leader() {
    return leader;
  }

  public Metrics metrics() {
    return metrics;
  }

  /** True while this controller may act for the controllers. */
  public boolean mayAct() {
    return election.mayAct();
  }

  private int[] counts(String uid) {
    if (leader != null) {
      return leader.counts(uid);
    }
    for (PeerStatus peerStatus : peers.lately(COUNTS_MICROS)) {
      int[] counts = peerStatus.leading() ? peerStatus.counts().get(uid) : null;
      if (counts != null) {
        return counts;
      }
    }
    return null;
  }

  /**
   * True when the state service serves others but not this controller, by refusals or by silence:
   * users are better off with another. In a common outage no controller is alone, or there would be
   * nobody left to ask. A controller that hears of no peer either is cut off from all of them, and
   * can't tell what they get.
   */
  private boolean isRefusedAlone() {
    if (store.refusedForMicros() < ALONE_MICROS || platform.peers().isEmpty()) {
      return false;
    }
    boolean heard = false;
    for (PeerStatus peerStatus : peers.lately(PEER_FRESH_MICROS)) {
      heard = true;
      if (peerStatus.storeRefusedMicros() == 0) {
        return true;
      }
    }
    return !heard;
  }

  /**
   * True when this controller runs so late that users wait for seconds, as a leader does whom
   * hundreds of workers come to, while another is on time. Where nobody is, all go on taking what
   * they can.
   */
  private boolean othersAreSooner() {
    if (latenessMicros() < LATE_MICROS) {
      return false;
    }
    for (PeerStatus peerStatus : peers.lately(PEER_FRESH_MICROS)) {
      if (peerStatus.storeRefusedMicros() == 0 && peerStatus.lateMicros() < ON_TIME_MICROS) {
        return true;
      }
    }
    return false;
  }

  /**
   * Asks the state service something small when nothing else was answered lately, so that its
   * silence is noticed.
   */
  private long listen() {
    if (loop.nowMicros() - store.lastServedMicros() >= LISTEN_MICROS / 2) {
      store.get(JobStore.CATALOG, StateClient.RequestPriority.URGENT, got -> {});
    }
    return LISTEN_MICROS;
  }

  /** How late this comes tells whether the processor's share is enough. */
  private long livenessTick() {
    long now = loop.nowMicros();
    if (livenessTickDueMicros > 0) {
      lateMicros = now - livenessTickDueMicros;
      metrics.recordDuration("late", lateMicros);
    }
    livenessTickDueMicros = now + LIVENESS_TICK_MICROS;
    return LIVENESS_TICK_MICROS;
  }

  /** How late the thread that decides was lately. */
  public long latenessMicros() {
    return livenessTickDueMicros == 0
        ? 0
        : Math.max(lateMicros, loop.nowMicros() - livenessTickDueMicros);
  }

  /** The most that another controller lately told of. */
  private int workersElsewhere() {
    int most = 0;
    for (PeerStatus peerStatus : peers.lately(PEER_FRESH_MICROS)) {
      if (!ofOwnCell(peerStatus.label())) {
        continue;
      }
      most = Math.max(most, peerStatus.workers());
    }
    return most;
  }

  private boolean ofOwnCell(String label) {
    return sharing.isEmpty() || sharing.get().ownCell().controllers().contains(label);
  }

  private PeerStatus status() {
    long now = loop.nowMicros();
    unknownMachines.values().removeIf(at -> now - at > UNKNOWN_MACHINE_MICROS);
    confirmedCancellations.values().removeIf(at -> now - at > CONFIRMED_CANCELLATION_MICROS);
    return new PeerStatus(
        platform.label(),
        election.term(),
        election.leading(),
        store.refusedForMicros(),
        Math.max(0, latenessMicros()),
        unknownMachines.size(),
        leader == null ? Map.of() : leader.allCounts(new LinkedHashMap<>()),
        List.copyOf(confirmedCancellations.keySet()));
  }

  @Override
  public void close() {
    scope.close();
    metrics.logSummary();
  }
}
