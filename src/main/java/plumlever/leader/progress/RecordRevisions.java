package plumlever.leader.progress;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import plumlever.leader.context.TermContext;
import plumlever.store.StateClient;

/**
 * The last known revisions of the progress records. Each write of a record is guarded by its
 * revision.
 */
final class RecordRevisions {
  /** Revision that a write requires of a progress record that does not exist yet. */
  private static final long NO_RECORD = 0;

  private final TermContext context;
  private final Map<String, Long> revisions = new HashMap<>();
  private boolean closed;

  RecordRevisions(TermContext context) {
    this.context = context;
  }

  /**
   * Returns the revision that the stored progress record must have for the next write to be
   * applied.
   */
  long of(String key) {
    return revisions.getOrDefault(key, NO_RECORD);
  }

  /** Adds the revisions of progress records that earlier leaders stored, by record key. */
  void putAll(Map<String, Long> read) {
    revisions.putAll(read);
  }

  /** Sets the known revision of all progress records that one transaction has written. */
  void written(Collection<String> keys, long revision) {
    keys.forEach(key -> revisions.put(key, revision));
  }

  /**
   * Reads the revisions of these progress records again, one record after the other, because an
   * unanswered transaction may have written the records. If a record cannot be read, the known
   * revision is kept.
   *
   * @param done runs after all reads
   */
  void refresh(Collection<String> keys, Runnable done) {
    refreshNext(new ArrayDeque<>(keys), done);
  }

  private void refreshNext(ArrayDeque<String> keys, Runnable done) {
    String key = keys.poll();
    if (key == null || closed) {
      done.run();
      return;
    }
    context
        .store()
        .get(
            key,
            StateClient.RequestPriority.ORDINARY,
            result -> {
              if (result.found()) {
                revisions.put(key, result.item().revision());
              } else if (result.missing()) {
                revisions.remove(key);
              }
              refreshNext(keys, done);
            });
  }

  void close() {
    closed = true;
  }
}
