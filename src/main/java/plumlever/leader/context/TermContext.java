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
 * What a leader works with, in one term.
 *
 * @param term the term of leadership that it is for
 * @param reader reads what earlier leaders left, not on this thread
 * @param latenessMicros how late this thread was lately: what can wait makes way
 * @param moneyMatters whether to save money where the aims leave time; asked for each machine of
 *     each round
 * @param sharing how the machines of a pool are shared, if this is one of its cells
 * @param workersElsewhere how many workers report to another controller, by what the others tell
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
     * @param then takes null when the keys could not all be read; runs on the thread that decides
     */
    void list(String prefix, Consumer<StateClient.Listing> then);
  }
}
