package plumlever.leader.record;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import plumlever.leader.context.Context;
import plumlever.sharing.PoolView;
import plumlever.store.JobStore;
import plumlever.store.StateClient;

/**
 * What earlier leaders left in the state service, read by a new one. All of it is asked for at
 * once: their writes are guarded by their terms, so nothing of it changes any more but the jobs
 * that come and end. It is read on leadership's thread: on the one that decides each answer would
 * wait behind the crowd of workers that come to a new leader.
 */
public final class RecoveryRead {
  private static final long RETRY_MICROS = 500_000;

  private final List<String> prefixes =
      new ArrayList<>(
          List.of(
              JobStore.FLEET,
              JobStore.WARM_STATE,
              JobStore.STARTED,
              JobStore.ACTIVE,
              JobStore.PROGRESS));

  private final Context context;
  private final Map<String, StateClient.Listing> read = new HashMap<>();
  private Consumer<RecoveryRead> onComplete;
  private long jobsReadSentMicros;

  public RecoveryRead(Context context) {
    this.context = context;
  }

  /**
   * @param whenRead runs once, when everything has been read
   */
  public void read(Consumer<RecoveryRead> callback) {
    onComplete = callback;
    if (context.sharing().isPresent()) {
      prefixes.add(PoolView.PREFIX);
    }
    prefixes.forEach(this::read);
  }

  private void read(String prefix) {
    if (prefix.equals(JobStore.ACTIVE)) {
      jobsReadSentMicros = context.loop().nowMicros();
    }
    context
        .reader()
        .list(
            prefix,
            listing -> {
              if (onComplete == null) {
                return;
              }
              if (listing == null) {
                context.loop().after(RETRY_MICROS, () -> read(prefix));
                return;
              }
              read.put(prefix, listing);
              if (read.size() == prefixes.size()) {
                Consumer<RecoveryRead> callback = onComplete;
                onComplete = null;
                callback.accept(this);
              }
            });
  }

  /** The keys under the prefix, as they were after the term had been taken. */
  public StateClient.Listing listing(String prefix) {
    return read.get(prefix);
  }

  /** When the read of the active jobs had been sent: whatever ended before it is known. */
  public long jobsReadSentMicros() {
    return jobsReadSentMicros;
  }

  public void close() {
    onComplete = null;
  }
}
