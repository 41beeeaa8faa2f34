package plumlever.leader.record;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import plumlever.leader.context.TermContext;
import plumlever.sharing.PoolView;
import plumlever.store.JobStore;
import plumlever.store.StateClient;

/**
 * Reads what earlier leaders left in the state service. All of it is requested at once: their
 * writes are guarded by their terms, so nothing of it changes any more but the jobs that come and
 * end. It is read on the election's thread: on the one that decides each answer would wait behind
 * the heartbeats of all workers that come to a new leader.
 */
public final class RecoveryRead {
  private static final long RETRY_MICROS = 500_000;

  private final TermContext context;
  private final List<String> prefixes;
  private final Map<String, StateClient.Listing> listings = new HashMap<>();
  private long jobsReadSentMicros;
  private boolean closed;

  /** Reads nothing yet. */
  public RecoveryRead(TermContext context) {
    this.context = context;
    this.prefixes =
        new ArrayList<>(
            List.of(
                JobStore.FLEET,
                JobStore.WARM_STATE,
                JobStore.STARTED,
                JobStore.ACTIVE,
                JobStore.PROGRESS));
    if (context.sharing().isPresent()) {
      prefixes.add(PoolView.PREFIX);
    }
  }

  /**
   * Reads everything; what can't be read is retried.
   *
   * @param onComplete runs once, when everything has been read, unless this is closed before
   */
  public void read(Consumer<RecoveryRead> onComplete) {
    prefixes.forEach(prefix -> read(prefix, onComplete));
  }

  private void read(String prefix, Consumer<RecoveryRead> onComplete) {
    if (prefix.equals(JobStore.ACTIVE)) {
      jobsReadSentMicros = context.loop().nowMicros();
    }
    context
        .reader()
        .list(
            prefix,
            listing -> {
              if (closed) {
                return;
              }
              if (listing.isEmpty()) {
                context.loop().after(RETRY_MICROS, () -> read(prefix, onComplete));
                return;
              }
              listings.put(prefix, listing.get());
              if (listings.size() == prefixes.size()) {
                onComplete.accept(this);
              }
            });
  }

  /** The keys under the prefix, as they were after the term had been taken. */
  public StateClient.Listing listing(String prefix) {
    return listings.get(prefix);
  }

  /** When the read of the active jobs was sent: jobs that ended before it are known to have. */
  public long jobsReadSentMicros() {
    return jobsReadSentMicros;
  }

  /** Nothing is reported any more; reads under way are ignored. */
  public void close() {
    closed = true;
  }
}
