package plumlever.leader.context;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import plumlever.cloud.CloudClient;
import plumlever.cloud.PriceBook;
import plumlever.concurrent.Loop;
import plumlever.election.LeaderElection;
import plumlever.election.Term;
import plumlever.http.Caller;
import plumlever.metrics.Logs;
import plumlever.metrics.Metrics;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;
import plumlever.settings.SharingSettings;
import plumlever.store.JobStore;
import plumlever.store.StateClient;

/**
 * What the parts of a leader share in one term. A part takes it whole but uses only what it needs:
 * all use the loop, the term, the metrics and the logs; who uses the rest is told below.
 *
 * @param loop runs all decisions of the term, and is their clock
 * @param platform limits, objectives, teams and addresses of the deployment
 * @param parameters what the operators set; used by scheduling, machines and progress
 * @param election ends the term early; used by machines and by the delegation of renewals
 * @param term the term of leadership, with its number, token and right to act
 * @param store the state service; used by whatever reads or writes records
 * @param layout keys and values of records; used with {@code store}
 * @param cloud rents, lists and returns machines; used by machines
 * @param prices the machine types and their prices; used by scheduling, machines, the pool,
 *     failover and heartbeats
 * @param caller sends commands to workers and requests to other shards; used by scheduling and the
 *     pool
 * @param workersElsewhere how many workers send heartbeats to another controller, as the others
 *     say; advice, used by machines
 * @param reader reads what earlier leaders left, not on this thread; used by the recovery read
 * @param latenessMicros how late this thread was lately: what can wait makes way; used by the pace
 *     of scheduling passes and of token raises, and by machines
 * @param logs gives loggers by class
 * @param moneyMatters whether to save money where the objectives leave time; used by scheduling and
 *     machines for each machine of each pass
 * @param sharing how the machines of a pool are shared, if this is one of its shards; used by the
 *     recovery read, by the delegation of renewals and where the parts are put together
 */
public record TermContext(
    Loop loop,
    PlatformConfiguration platform,
    SchedulerParameters parameters,
    LeaderElection election,
    Term term,
    StateClient store,
    JobStore layout,
    CloudClient cloud,
    PriceBook prices,
    Caller caller,
    Metrics metrics,
    IntSupplier workersElsewhere,
    RecoveryReader reader,
    LongSupplier latenessMicros,
    Logs logs,
    boolean moneyMatters,
    Optional<SharingSettings> sharing) {

  /** Lists keys on another thread than the one that decides. */
  public interface RecoveryReader {
    /**
     * Lists all keys under the prefix.
     *
     * @param whenRead takes nothing when the keys could not all be read; runs on the thread that
     *     decides
     */
    void list(String prefix, Consumer<Optional<StateClient.Listing>> whenRead);
  }

  /**
   * Ends the term; this controller does not stand again for the pause.
   *
   * @param reason for the log
   */
  public void resign(String reason, long pauseMicros) {
    election.resign(term, reason, pauseMicros);
  }

  /**
   * Ends the term because its numbers for attempts or tokens run out: a new term starts all numbers
   * anew, and this controller may take it itself.
   */
  public void resignForNumbers() {
    resign("the numbers of this term run out", 0);
  }
}
