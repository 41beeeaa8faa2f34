package plumlever;

import java.util.Optional;
import plumlever.concurrent.EventLoop;
import plumlever.concurrent.RecurringTask;
import plumlever.concurrent.Scope;
import plumlever.election.DelegatedRenewal;
import plumlever.election.ElectionSettings;
import plumlever.election.LeaderElection;
import plumlever.election.PoolTerms;
import plumlever.http.DelegatedHeartbeatHandler;
import plumlever.http.HeartbeatEndpoint;
import plumlever.http.HttpClient;
import plumlever.http.JobForwarder;
import plumlever.http.JobServices;
import plumlever.http.PoolRequestHandler;
import plumlever.http.RequestRouter;
import plumlever.http.Responder;
import plumlever.http.ServingHealth;
import plumlever.http.SubmissionRules;
import plumlever.http.TaskCounts;
import plumlever.http.UserApi;
import plumlever.leader.Leader;
import plumlever.lease.LeaseRenewal;
import plumlever.lease.RenewalLimit;
import plumlever.lease.SettledCommands;
import plumlever.metrics.LoggerProvider;
import plumlever.metrics.Metrics;
import plumlever.peer.Peers;
import plumlever.peer.SettlementReport;
import plumlever.settings.OperatorSettings;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;
import plumlever.settings.SharingSettings;
import plumlever.sharing.PoolView;
import plumlever.store.JobRecordCache;

/**
 * One controller without its sockets: creates, connects, starts and closes the components. All
 * state except that of leader election is owned by the controller loop, and all methods are called
 * on that loop.
 */
public final class Controller implements AutoCloseable {
  private static final long SUMMARY_INTERVAL_MICROS = 60_000_000;

  private final ControllerEnvironment environment;
  private final ServiceClients clients;
  private final Scope scope = new Scope();
  private final LoopLateness lateness;
  private final Leadership leadership;
  private final LeaderElection election;
  private final ConfirmedCancellations cancellations;
  private final OwnStatus ownStatus;
  private final Peers peers;
  private final PeerReports peerReports;
  private final JobRecordCache jobRecords;
  private final DelegatedRenewal delegatedRenewal;
  private final RequestRouter router;
  private final Optional<PoolRequestHandler> poolRequestHandler;

  /** Creates a controller that runs leader election on the same loop as everything else. */
  public Controller(
      EventLoop loop,
      HttpClient httpClient,
      PlatformConfiguration platform,
      SchedulerParameters parameters,
      long seed) {
    this(
        loop,
        httpClient,
        loop,
        httpClient,
        platform,
        new OperatorSettings(parameters, Optional.empty()),
        seed,
        LoggerProvider.SERVICE);
  }

  /**
   * Creates a controller that runs leader election on a separate loop.
   *
   * @param loop the controller loop, which owns all state except that of leader election
   * @param electionLoop the election loop, which runs leader election with its own HTTP client, so
   *     that work on {@code loop} does not delay elections or lease renewals
   * @param seed seeds the random pauses between election attempts
   */
  public Controller(
      EventLoop loop,
      HttpClient httpClient,
      EventLoop electionLoop,
      HttpClient electionHttpClient,
      PlatformConfiguration platform,
      OperatorSettings settings,
      long seed,
      LoggerProvider loggerProvider) {
    this(
        new ControllerEnvironment(
            loop,
            httpClient,
            electionLoop,
            electionHttpClient,
            platform,
            settings,
            seed,
            loggerProvider));
  }

  private Controller(ControllerEnvironment environment) {
    this.environment = environment;
    EventLoop loop = environment.loop();
    Optional<SharingSettings> sharing = environment.settings().sharing();
    clients = new ServiceClients(environment);
    lateness = new LoopLateness(loop, clients.metrics());
    leadership = new Leadership(loop, clients.store(), term -> termContextFactory().create(term));
    election = createElection();
    cancellations = new ConfirmedCancellations(loop, leadership);
    ownStatus = createOwnStatus();
    peers = createPeers();
    peerReports = new PeerReports(peers, sharing);
    jobRecords =
        new JobRecordCache(loop, clients.store(), clients.recordLayout(), clients.metrics());
    delegatedRenewal =
        new DelegatedRenewal(loop, clients.store(), election, environment.loggerProvider());
    router = createRouter();
    poolRequestHandler = sharing.map(pool -> new PoolRequestHandler(leadership::leader, router));
  }

  private TermContextFactory termContextFactory() {
    return new TermContextFactory(environment, clients, election, lateness, peerReports);
  }

  private LeaderElection createElection() {
    Optional<PoolTerms> poolTerms =
        environment
            .settings()
            .sharing()
            .map(
                pool ->
                    new PoolTerms(
                        clients.electionStore(),
                        PoolView.COUNTER,
                        PoolView.leaderKey(pool.ownShard().name())));
    ElectionSettings settings =
        new ElectionSettings(
            environment.platform().label(),
            environment.settings().parameters(),
            poolTerms,
            environment.electionSeed());
    return new LeaderElection(
        settings,
        environment.electionLoop(),
        clients.electionStore(),
        leadership,
        environment.loggerProvider());
  }

  private OwnStatus createOwnStatus() {
    return new OwnStatus(
        environment.platform().label(),
        environment.loop(),
        election,
        clients.store(),
        lateness,
        leadership,
        cancellations);
  }

  private Peers createPeers() {
    return new Peers(
        environment.loop(),
        clients.httpClient(),
        environment.platform(),
        ownStatus::current,
        () -> leadership.leader().flatMap(Leader::settledCommands).map(this::toReport),
        cancellations::confirmedByPeer);
  }

  private SettlementReport toReport(SettledCommands settled) {
    return new SettlementReport(
        environment.loop().nowMicros() - settled.endedJobsReadMicros(),
        settled.unsettledMachines());
  }

  private RequestRouter createRouter() {
    ServingHealth health =
        new ControllerHealth(
            environment.platform(), election, clients.store(), lateness, peerReports);
    return new RequestRouter(
        environment.loop(),
        createUserApi(health),
        createHeartbeatEndpoint(),
        health,
        clients.metrics());
  }

  private UserApi createUserApi(ServingHealth health) {
    PlatformConfiguration platform = environment.platform();
    JobServices jobs =
        new JobServices(
            environment.loop(),
            clients.store(),
            jobRecords,
            clients.recordLayout(),
            clients.metrics());
    Optional<JobForwarder> otherShards =
        environment
            .settings()
            .sharing()
            .map(
                pool ->
                    new JobForwarder(
                        environment.loop(), clients.store(), clients.httpClient(), platform, pool));
    return new UserApi(
        jobs,
        new SubmissionRules(platform.teams(), clients.typeCatalog()),
        health,
        cancellations::confirmedLocally,
        this::taskCounts,
        otherShards);
  }

  private HeartbeatEndpoint createHeartbeatEndpoint() {
    DelegatedHeartbeatHandler delegated =
        new DelegatedHeartbeatHandler(
            environment.loop(),
            delegatedRenewal,
            jobRecords,
            new LeaseRenewal(new RenewalLimit(environment.platform().workers())),
            clients.httpClient(),
            clients.metrics(),
            environment.loggerProvider());
    return new HeartbeatEndpoint(
        new KnownLeader(leadership, election),
        delegated,
        ownStatus::recordHeartbeat,
        clients.metrics());
  }

  private Optional<TaskCounts> taskCounts(String uid) {
    return leadership
        .leader()
        .map(leader -> leader.taskCounts(uid))
        .orElseGet(() -> peerReports.taskCounts(uid));
  }

  /** Starts the election, the status exchange with peers, and all recurring tasks. */
  public void start() {
    EventLoop loop = environment.loop();
    StateServiceProbe probe = new StateServiceProbe(loop, clients.store());
    scope.own(election);
    election.start();
    scope.own(clients.machineTypeLoader().task()).start();
    scope.own(peers.recurringTask()).start();
    scope.own(delegatedRenewal.refreshTask()).start();
    scope.own(new RecurringTask("state service probe", loop, probe::run)).start();
    scope.own(new RecurringTask("loop lateness tick", loop, lateness::tick)).start();
    scope.own(new RecurringTask("metrics summary", loop, this::logSummary)).start();
  }

  private long logSummary() {
    clients.metrics().logSummary();
    return SUMMARY_INTERVAL_MICROS;
  }

  /** Returns the router for the requests of users, workers and health checks. */
  public RequestRouter router() {
    return router;
  }

  /** Handles a request of another controller. */
  public void peer(String method, String path, byte[] body, Responder out) {
    boolean handled =
        poolRequestHandler.isPresent() && poolRequestHandler.get().handle(path, body, out);
    if (!handled) {
      peers.handle(method, path, body, out);
    }
  }

  /** Returns the leader in this process; empty while this controller does not lead. */
  public Optional<Leader> leader() {
    return leadership.leader();
  }

  /** Returns the metrics of this controller. */
  public Metrics metrics() {
    return clients.metrics();
  }

  /** Returns true while this controller leads and the leader's lease allows it to act. */
  public boolean mayAct() {
    return election.mayAct();
  }

  /** Returns the delay with which the controller loop recently ran its timers, in microseconds. */
  public long latenessMicros() {
    return lateness.micros();
  }

  /** Resigns leadership if held, and stops all recurring tasks. */
  @Override
  public void close() {
    scope.close();
    clients.metrics().logSummary();
  }
}
