package plumlever.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import plumlever.concurrent.Loop;
import plumlever.wire.HttpStatus;
import plumlever.wire.JobState;

/**
 * Reads the records of many jobs: one by one while they are few, in listings where that takes fewer
 * requests. A job under neither of its keys had not been accepted when the first read began.
 */
public final class JobFinder {
  /**
   * A job's record.
   *
   * @param active null unless it has not ended
   * @param how null unless it has
   * @param endedWallMicros when, if that was stored
   */
  public record Found(StateClient.Item active, JobState endState, long endedWallMicros) {
    static final Found NONE = new Found(null, null, 0);

    public boolean accepted() {
      return active != null || endState != null;
    }
  }

  /** Beyond this many a listing costs less. */
  static final int MOST_SINGLE = 24;

  private static final int MOST_AT_ONCE = 6;
  private static final long AGAIN_MICROS = 150_000;
  private static final int TRIES = 4;

  private final Loop loop;
  private final StateClient store;

  public JobFinder(Loop loop, StateClient store) {
    this.loop = loop;
    this.store = store;
  }

  /**
   * @param then takes what was found of each, or null when that can't be found out now
   */
  public void find(Collection<String> uids, Consumer<Map<String, Found>> then) {
    if (uids.size() <= MOST_SINGLE) {
      new Singles(uids, new HashMap<>(), then).start();
      return;
    }
    store.list(
        RecordKeys.ACTIVE,
        StateClient.RequestPriority.ORDINARY,
        active -> {
          if (active == null) {
            then.accept(null);
            return;
          }
          Map<String, StateClient.Item> byUid = new HashMap<>();
          active.items().forEach(i -> byUid.put(RecordKeys.uidOfActive(i.key()), i));
          Map<String, Found> found = new HashMap<>();
          List<String> rest = new ArrayList<>();
          for (String uid : uids) {
            StateClient.Item item = byUid.get(uid);
            if (item != null) {
              found.put(uid, new Found(item, null, 0));
            } else {
              rest.add(uid);
            }
          }
          if (rest.size() <= MOST_SINGLE) {
            new Singles(rest, found, then).start();
          } else {
            ended(rest, found, then);
          }
        });
  }

  private void ended(
      List<String> uids, Map<String, Found> found, Consumer<Map<String, Found>> then) {
    store.list(
        RecordKeys.ENDED,
        StateClient.RequestPriority.ORDINARY,
        ended -> {
          if (ended == null) {
            then.accept(null);
            return;
          }
          Map<String, StateClient.Item> byUid = new HashMap<>();
          ended.items().forEach(i -> byUid.put(RecordKeys.uidOfEnded(i.key()), i));
          for (String uid : uids) {
            StateClient.Item item = byUid.get(uid);
            found.put(uid, item == null ? Found.NONE : ended(item));
          }
          then.accept(found);
        });
  }

  private static Found ended(StateClient.Item item) {
    return new Found(
        null, JobStore.finalState(item.data()), EndedRecord.endedWallMicros(item.data()));
  }

  /** Reads of one key each, a few at a time. */
  private final class Singles {
    private final ArrayDeque<String> open;
    private final Map<String, Found> found;
    private final Consumer<Map<String, Found>> then;
    private int underWay;
    private boolean over;

    Singles(Collection<String> uids, Map<String, Found> found, Consumer<Map<String, Found>> then) {
      this.open = new ArrayDeque<>(uids);
      this.found = found;
      this.then = then;
    }

    void start() {
      if (open.isEmpty() && underWay == 0) {
        finish(found);
        return;
      }
      while (!over && underWay < MOST_AT_ONCE && !open.isEmpty()) {
        underWay++;
        active(open.poll(), TRIES);
      }
    }

    private void active(String uid, int tries) {
      store.get(
          RecordKeys.active(uid),
          StateClient.RequestPriority.ORDINARY,
          got -> {
            if (got.found()) {
              take(uid, new Found(got.item(), null, 0));
            } else if (got.missing()) {
              end(uid, TRIES);
            } else {
              again(got.status(), tries, () -> active(uid, tries - 1));
            }
          });
    }

    private void end(String uid, int tries) {
      store.get(
          RecordKeys.ended(uid),
          StateClient.RequestPriority.ORDINARY,
          got -> {
            if (got.found() && JobStore.finalState(got.item().data()) != null) {
              take(uid, ended(got.item()));
            } else if (got.missing()) {
              take(uid, Found.NONE);
            } else {
              again(got.status(), tries, () -> end(uid, tries - 1));
            }
          });
    }

    private void take(String uid, Found record) {
      underWay--;
      found.put(uid, record);
      start();
    }

    private void again(int status, int tries, Runnable retry) {
      if (status == HttpStatus.TOO_MANY_REQUESTS && tries > 1 && !over) {
        loop.after(AGAIN_MICROS, retry);
      } else {
        finish(null);
      }
    }

    private void finish(Map<String, Found> result) {
      if (!over) {
        over = true;
        then.accept(result);
      }
    }
  }
}
