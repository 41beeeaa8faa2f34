package plumlever.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import plumlever.concurrent.EventLoop;
import plumlever.wire.JobState;

/**
 * Reads the active and ended records of a set of jobs. A few jobs are read key by key; for many
 * jobs, all records are listed, which takes fewer requests. A job with neither an active nor an
 * ended record had not been accepted when the first read started.
 */
public final class JobFinder {
  /**
   * What the state service has stored about a job.
   *
   * @param active the active record if the job has been accepted and has not ended
   * @param finalState the final state if the job has ended
   * @param endedWallMicros the wall clock time at which the job ended, or 0 if that was not stored
   */
  public record Found(
      Optional<StateClient.Item> active, Optional<JobState> finalState, long endedWallMicros) {
    static final Found NONE = new Found(Optional.empty(), Optional.empty(), 0);

    static Found active(StateClient.Item item) {
      return new Found(Optional.of(item), Optional.empty(), 0);
    }

    static Found ended(StateClient.Item item) {
      return new Found(
          Optional.empty(),
          EndedRecord.finalState(item.data()),
          EndedRecord.endedWallMicros(item.data()));
    }

    /** Returns true if the job was ever accepted. */
    public boolean accepted() {
      return active.isPresent() || finalState.isPresent();
    }
  }

  /**
   * The maximum number of jobs whose records are read one by one. For more jobs, a listing takes
   * fewer requests.
   */
  static final int MAX_SINGLE_READS = 24;

  /** The maximum number of concurrent requests while jobs are read one by one. */
  private static final int MAX_READS_AT_ONCE = 6;

  private final StateClient store;
  private final RateLimitRetry retry;

  /** Creates a finder that reads through the given client. */
  public JobFinder(EventLoop loop, StateClient store) {
    this.store = store;
    this.retry = new RateLimitRetry(loop);
  }

  /**
   * Reads the active or ended records of these jobs.
   *
   * @param handler receives the record of each job, or an empty value if the records could not be
   *     read
   */
  public void find(Collection<String> uids, Consumer<Optional<Map<String, Found>>> handler) {
    if (uids.size() <= MAX_SINGLE_READS) {
      new SingleReads(uids, new HashMap<>(), handler).sendNext();
      return;
    }
    list(
        RecordKeys.ACTIVE,
        activeByUid -> {
          if (activeByUid.isEmpty()) {
            handler.accept(Optional.empty());
            return;
          }
          Map<String, Found> found = new HashMap<>();
          List<String> missing = new ArrayList<>();
          for (String uid : uids) {
            StateClient.Item item = activeByUid.get().get(uid);
            if (item != null) {
              found.put(uid, Found.active(item));
            } else {
              missing.add(uid);
            }
          }
          findEnded(missing, found, handler);
        });
  }

  private void findEnded(
      List<String> uids, Map<String, Found> found, Consumer<Optional<Map<String, Found>>> handler) {
    if (uids.size() <= MAX_SINGLE_READS) {
      new SingleReads(uids, found, handler).sendNext();
      return;
    }
    list(
        RecordKeys.ENDED,
        endedByUid -> {
          if (endedByUid.isEmpty()) {
            handler.accept(Optional.empty());
            return;
          }
          for (String uid : uids) {
            StateClient.Item item = endedByUid.get().get(uid);
            found.put(uid, item == null ? Found.NONE : Found.ended(item));
          }
          handler.accept(Optional.of(found));
        });
  }

  private void list(String prefix, Consumer<Optional<Map<String, StateClient.Item>>> handler) {
    store.list(
        prefix,
        StateClient.RequestPriority.ORDINARY,
        listing -> {
          if (listing.isEmpty()) {
            handler.accept(Optional.empty());
            return;
          }
          Map<String, StateClient.Item> byUid = new HashMap<>();
          listing
              .get()
              .items()
              .forEach(item -> byUid.put(item.key().substring(prefix.length()), item));
          handler.accept(Optional.of(byUid));
        });
  }

  /** Reads the records of jobs key by key, with a limited number of concurrent requests. */
  private final class SingleReads {
    private final Deque<String> remaining;
    private final Map<String, Found> found;
    private final Consumer<Optional<Map<String, Found>>> handler;
    private int pending;
    private boolean finished;

    SingleReads(
        Collection<String> uids,
        Map<String, Found> found,
        Consumer<Optional<Map<String, Found>>> handler) {
      this.remaining = new ArrayDeque<>(uids);
      this.found = found;
      this.handler = handler;
    }

    void sendNext() {
      if (remaining.isEmpty() && pending == 0) {
        finish(Optional.of(found));
        return;
      }
      while (!finished && pending < MAX_READS_AT_ONCE && !remaining.isEmpty()) {
        pending++;
        readActive(remaining.poll(), RateLimitRetry.MAX_ATTEMPTS);
      }
    }

    private void readActive(String uid, int attemptsLeft) {
      store.get(
          RecordKeys.active(uid),
          StateClient.RequestPriority.ORDINARY,
          result -> {
            if (result.found()) {
              add(uid, Found.active(result.item()));
            } else if (result.missing()) {
              readEnded(uid, RateLimitRetry.MAX_ATTEMPTS);
            } else {
              retryOrFinish(result.status(), attemptsLeft, () -> readActive(uid, attemptsLeft - 1));
            }
          });
    }

    private void readEnded(String uid, int attemptsLeft) {
      store.get(
          RecordKeys.ended(uid),
          StateClient.RequestPriority.ORDINARY,
          result -> {
            if (result.found() && EndedRecord.finalState(result.item().data()).isPresent()) {
              add(uid, Found.ended(result.item()));
            } else if (result.missing()) {
              add(uid, Found.NONE);
            } else {
              retryOrFinish(result.status(), attemptsLeft, () -> readEnded(uid, attemptsLeft - 1));
            }
          });
    }

    private void add(String uid, Found job) {
      pending--;
      found.put(uid, job);
      sendNext();
    }

    private void retryOrFinish(int status, int attemptsLeft, Runnable repeat) {
      if (!finished) {
        retry.retryOrFail(status, attemptsLeft, repeat, () -> finish(Optional.empty()));
      }
    }

    private void finish(Optional<Map<String, Found>> result) {
      if (!finished) {
        finished = true;
        handler.accept(result);
      }
    }
  }
}
