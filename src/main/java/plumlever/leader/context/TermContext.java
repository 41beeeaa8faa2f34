package plumlever.leader.context;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import plumlever.cloud.CloudClient;
import plumlever.cloud.MachineTypeCatalog;
import plumlever.concurrent.EventLoop;
import plumlever.election.LeaderElection;
import plumlever.election.Term;
import plumlever.http.HttpClient;
import plumlever.lease.SettledCommands;
import plumlever.metrics.LoggerProvider;
import plumlever.metrics.Metrics;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;
import plumlever.settings.SharingSettings;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;

/**
 * The services and settings that the components of a leader share during one term. Every component
 * receives the whole context and uses only what it needs. All components use the loop, the term,
 * the metrics and the loggers; the users of the other values are named below.
 *
 * @param loop runs all decisions of the term and provides their clock
 * @param platform limits, objectives, teams and addresses of the deployment
 * @param parameters the operators' settings; used by scheduling, machines and progress
 * @param election ends the term early; used by machines and by the delegation of renewals
 * @param term the term of leadership, with its number, token and right to act
 * @param store client of the state service; used by all components that read or write records
 * @param recordLayout keys and values of records; used with {@code store}
 * @param cloud rents, lists and returns machines; used by machines
 * @param typeCatalog the machine types and their prices; used by scheduling, machines, the pool,
 *     failover and heartbeats
 * @param httpClient sends commands to workers and requests to other shards; used by scheduling and
 *     the pool
 * @param workersAtOtherControllers how many workers send heartbeats to other controllers, as
 *     reported by these controllers; advisory, used by machines
 * @param reader reads the records of earlier leaders on another thread; used by the recovery read
 * @param latenessMicros how late the loop thread has run recently, so that deferrable work can be
 *     postponed; used to pace scheduling passes and token raises, and by machines
 * @param loggerProvider provides loggers by class
 * @param costMatters whether to reduce cost where the objectives leave time; used by scheduling and
 *     machines for each machine of each pass
 * @param sharing how the machines of a pool are shared, if this leader's shard belongs to a pool;
 *     used by the recovery read, by the delegation of renewals and when the components are created
 * @param settledCommands what earlier leaders reported about their start commands; used for the
 *     first renewal of each machine
 */
public record TermContext(
    EventLoop loop,
    PlatformConfiguration platform,
    SchedulerParameters parameters,
    LeaderElection election,
    Term term,
    StateClient store,
    RecordLayout recordLayout,
    CloudClient cloud,
    MachineTypeCatalog typeCatalog,
    HttpClient httpClient,
    Metrics metrics,
    IntSupplier workersAtOtherControllers,
    RecoveryReader reader,
    LongSupplier latenessMicros,
    LoggerProvider loggerProvider,
    boolean costMatters,
    Optional<SharingSettings> sharing,
    SettledCommands settledCommands) {

  /** Lists the records of earlier leaders on a thread other than the loop thread. */
  public interface RecoveryReader {
    /**
     * Lists all keys under the prefix.
     *
     * @param onRead receives the listing, or empty if not all keys could be read; called on the
     *     loop thread
     */
    void list(String prefix, Consumer<Optional<StateClient.Listing>> onRead);
  }

  /**
   * Ends the term. This controller does not stand for election again until the pause has passed.
   *
   * @param reason the reason to log
   */
  public void resign(String reason, long pauseMicros) {
    election.resign(term, reason, pauseMicros);
  }

  /**
   * Ends the term because its attempt numbers or fencing tokens are nearly exhausted. All numbers
   * restart in a new term, and this controller may become the leader of that term.
   */
  public void resignForExhaustedNumbers() {
    resign("the attempt numbers or fencing tokens of this term are nearly exhausted", 0);
  }
}
