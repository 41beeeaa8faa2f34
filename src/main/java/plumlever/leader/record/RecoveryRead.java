package plumlever.leader.record;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import plumlever.leader.context.TermContext;
import plumlever.sharing.PoolView;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;

/**
 * Reads the records that earlier leaders stored. All prefixes are requested at once: the writes of
 * earlier leaders are guarded by their terms, so from now on the records change only as jobs are
 * accepted or end. The reads run on the election thread. On the controller loop, each response
 * would queue behind the heartbeats that all workers send to a new leader.
 */
public final class RecoveryRead {
  private static final long RETRY_MICROS = 500_000;

  private final TermContext context;
  private final List<String> prefixes;
  private final Map<String, StateClient.Listing> listings = new HashMap<>();
  private long jobsReadSentMicros;
  private boolean closed;

  /** Creates the reader; no request is sent yet. */
  public RecoveryRead(TermContext context) {
    this.context = context;
    this.prefixes =
        new ArrayList<>(
            List.of(
                RecordLayout.FLEET,
                RecordLayout.WARM_STATE,
                RecordLayout.STARTED,
                RecordLayout.ACTIVE,
                RecordLayout.PROGRESS));
    if (context.sharing().isPresent()) {
      prefixes.add(PoolView.PREFIX);
    }
  }

  /**
   * Reads all records of earlier leaders, one listing per key prefix; a failed read is retried.
   *
   * @param onComplete runs once after all prefixes have been read, unless the reader is closed
   *     earlier
   */
  public void read(Consumer<RecoveryRead> onComplete) {
    prefixes.forEach(prefix -> read(prefix, onComplete));
  }

  private void read(String prefix, Consumer<RecoveryRead> onComplete) {
    if (prefix.equals(RecordLayout.ACTIVE)) {
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

  /** Returns the keys under the prefix, as read after the term had been acquired. */
  public StateClient.Listing listing(String prefix) {
    return listings.get(prefix);
  }

  /**
   * Returns the time at which the read of the active jobs was sent. The listing of active jobs
   * reflects every job that ended before that time.
   */
  public long jobsReadSentMicros() {
    return jobsReadSentMicros;
  }

  /** Stops the reads: later responses are ignored, and the completion callback does not run. */
  public void close() {
    closed = true;
  }
}
