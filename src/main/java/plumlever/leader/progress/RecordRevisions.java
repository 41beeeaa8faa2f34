package plumlever.leader.progress;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import plumlever.leader.context.TermContext;
import plumlever.store.StateClient;

/** The revisions of progress records as far as they are known; each write is guarded by them. */
final class RecordRevisions {
  /** Guards a record that does not exist. */
  private static final long NO_RECORD = 0;

  private final TermContext context;
  private final Map<String, Long> revisions = new HashMap<>();
  private boolean closed;

  RecordRevisions(TermContext context) {
    this.context = context;
  }

  /** The revision by which the next write of the record is guarded. */
  long of(String key) {
    return revisions.getOrDefault(key, NO_RECORD);
  }

  /** Takes over revisions that were read. */
  void putAll(Map<String, Long> read) {
    revisions.putAll(read);
  }

  /** All these records were written by one transaction. */
  void written(Collection<String> keys, long revision) {
    keys.forEach(key -> revisions.put(key, revision));
  }

  /**
   * Reads the revisions anew, one after the other: the records may have been written by a
   * transaction without an answer. A record that can't be read keeps its revision.
   *
   * @param done runs once all have been read
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
