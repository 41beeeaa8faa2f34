package plumlever.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import plumlever.concurrent.Loop;
import plumlever.fleet.DependencyGraph;
import plumlever.wire.HttpStatus;
import plumlever.wire.JobState;

/**
 * What the state service says of jobs that wait for others. Their records never change until they
 * end, so they are read once, with those that they name, directly and through others; from then on
 * one question for what has ended since the last one, begun after the users asked, answers all of
 * them. Nothing hangs on who leads, nor on a version's knowing of dependency chains.
 */
final class DependencyRecordCache {
  /** What follows for a job from the records, as of a moment after it was asked about. */
  enum Answer {
    WAITING,
    RELEASED,
    CANCELLED,
    ENDED,
    UNAVAILABLE
  }

  private record Question(String uid, int tries, Consumer<Answer> then) {}

  private static final long GATHER_MICROS = 25_000;
  private static final long AGAIN_MICROS = 150_000;
  private static final int TRIES = 4;

  /** After so many steps back along dependency chains all active jobs are read at once. */
  private static final int MOST_STEPS = 3;

  /**
   * Beyond this much the book is begun anew; dependency chains are read again as they are asked
   * about.
   */
  private static final int MOST_JOBS = 50_000;

  private final Loop loop;
  private final StateClient store;
  private final JobFinder finder;

  /** Told of each end that is read. */
  private final Ends ends;

  private DependencyGraph dependencyGraph = new DependencyGraph();

  /** Jobs of which all that they wait on, directly or through others, is in the book. */
  private Set<String> whole = new HashSet<>();

  /** Ends up to this revision are in the book; -1 before the first. */
  private long storeRevision = -1;

  private List<Question> gathered = new ArrayList<>();

  /** What is known of ended jobs beside this cache. */
  interface Ends {
    void ended(String uid, JobState how);

    /** How it ended, or null if that is not known without asking. */
    JobState known(String uid);
  }

  DependencyRecordCache(Loop loop, StateClient store, JobFinder finder, Ends ends) {
    this.loop = loop;
    this.store = store;
    this.finder = finder;
    this.ends = ends;
  }

  /** The job whose cancel cancelled this one, or null. */
  String through(String uid) {
    return dependencyGraph.failedDependencyOf(uid);
  }

  /**
   * The revision of a job's record that is in the book with all that it waits on; 0 for any other.
   */
  long revision(String uid) {
    return whole.contains(uid) ? dependencyGraph.revision(uid) : 0;
  }

  /** An end that this controller knows of. */
  void ended(String uid, JobState how) {
    dependencyGraph.recordEnd(uid, how, 0);
    whole.remove(uid);
    forgetNews();
  }

  private void forgetNews() {
    dependencyGraph.drainReleased();
    dependencyGraph.drainCancelled();
  }

  /** Finds out what follows for a job that waits, or waited, for others. */
  void ask(String uid, Consumer<Answer> then) {
    ask(new Question(uid, TRIES, then));
  }

  private void ask(Question question) {
    gathered.add(question);
    if (gathered.size() == 1) {
      loop.after(GATHER_MICROS, this::turn);
    }
  }

  private void turn() {
    List<Question> asked = gathered;
    gathered = new ArrayList<>();
    if (dependencyGraph.size() > MOST_JOBS) {
      reset();
    }
    if (storeRevision >= 0) {
      complete(asked);
      return;
    }
    // Where to begin: whatever ends after this revision is told by the changes, whatever did before
    // by the records.
    store.storeRevision(
        now -> {
          if (now < 0) {
            answer(asked, Answer.UNAVAILABLE);
          } else {
            storeRevision = storeRevision < 0 ? now : storeRevision;
            complete(asked);
          }
        });
  }

  /** The job was accepted here a moment ago: its own record need not be read. */
  void accepted(String uid, long revision, List<String> dependencies) {
    if (storeRevision >= 0) {
      dependencyGraph.addJob(uid, revision, dependencies);
      forgetNews();
    }
  }

  /** Reads what is missing of the dependency chains asked about, step by step away from them. */
  private void complete(List<Question> asked) {
    Set<String> unread = new LinkedHashSet<>();
    for (Question question : asked) {
      if (!whole.contains(question.uid)) {
        unread.add(question.uid);
      }
    }
    DependencyGraph into = dependencyGraph;
    new Reading(
            into,
            unread,
            fine -> {
              if (!fine || into != dependencyGraph) {
                answer(asked, Answer.UNAVAILABLE);
                return;
              }
              whole.addAll(unread);
              look(asked);
            })
        .goOn();
  }

  /** Enters jobs in the book, with all that they wait on, directly and through others. */
  private final class Reading {
    private final DependencyGraph into;
    private final Set<String> seen;
    private final ArrayDeque<String> open;
    private final Consumer<Boolean> then;

    /** All active jobs, once that takes fewer requests than going on one by one. */
    private Map<String, StateClient.Item> all;

    private int steps;

    Reading(DependencyGraph into, Set<String> uids, Consumer<Boolean> then) {
      this.into = into;
      this.seen = new HashSet<>(uids);
      this.open = new ArrayDeque<>(uids);
      this.then = then;
    }

    void goOn() {
      Set<String> unread = new LinkedHashSet<>();
      List<StateClient.Item> spilled = new ArrayList<>();
      while (!open.isEmpty()) {
        String uid = open.poll();
        JobState how = ends.known(uid);
        if (how != null) {
          into.recordEnd(uid, how, 0);
        } else if (into.stateOf(uid) != DependencyGraph.State.UNKNOWN) {
          // In the book already, but not all that it waits on need be.
          name(into.openDependencies(uid));
        } else if (all != null && all.containsKey(uid)) {
          active(all.get(uid), spilled);
        } else {
          unread.add(uid);
        }
      }
      if (unread.isEmpty()) {
        readParts(spilled);
      } else if (all == null && (steps >= MOST_STEPS || unread.size() > JobFinder.MOST_SINGLE)) {
        open.addAll(unread);
        store.list(
            JobStore.ACTIVE,
            StateClient.RequestPriority.ORDINARY,
            listing -> {
              if (listing == null) {
                then.accept(false);
                return;
              }
              all = new HashMap<>();
              listing.items().forEach(i -> all.put(i.key().substring(JobStore.ACTIVE.length()), i));
              readParts(spilled);
            });
      } else {
        steps++;
        finder.find(
            unread,
            found -> {
              if (found == null) {
                then.accept(false);
                return;
              }
              found.forEach(
                  (uid, f) -> {
                    // What ended while this was read is known from the changes, which may have come
                    // first.
                    JobState how = f.endState() != null ? f.endState() : ends.known(uid);
                    if (how != null) {
                      ends.ended(uid, how);
                      into.recordEnd(uid, how, f.endedWallMicros());
                    } else if (f.active() != null) {
                      active(f.active(), spilled);
                    }
                  });
              readParts(spilled);
            });
      }
    }

    private void active(StateClient.Item item, List<StateClient.Item> spilled) {
      String uid = item.key().substring(JobStore.ACTIVE.length());
      if (JobStore.dependenciesKeys(uid, item.data()).isEmpty()) {
        enter(item, JobStore.dependenciesInline(item.data()));
      } else {
        spilled.add(item);
      }
    }

    private void enter(StateClient.Item item, List<String> dependencies) {
      into.addJob(item.key().substring(JobStore.ACTIVE.length()), item.revision(), dependencies);
      name(dependencies);
    }

    private void name(List<String> uids) {
      for (String uid : uids) {
        if (!whole.contains(uid) && seen.add(uid)) {
          open.add(uid);
        }
      }
    }

    /** The lists that did not fit their jobs' records, one job after the other. */
    private void readParts(List<StateClient.Item> jobs) {
      if (jobs.isEmpty()) {
        if (open.isEmpty()) {
          then.accept(true);
        } else {
          goOn();
        }
        return;
      }
      StateClient.Item job = jobs.remove(jobs.size() - 1);
      List<String> keys =
          JobStore.dependenciesKeys(job.key().substring(JobStore.ACTIVE.length()), job.data());
      String first = keys.get(0);
      store.list(
          first.substring(0, first.lastIndexOf('/') + 1),
          StateClient.RequestPriority.ORDINARY,
          listing -> {
            Map<String, List<String>> parts = new HashMap<>();
            if (listing != null) {
              listing.items().forEach(i -> parts.put(i.key(), JobStore.names(i.data())));
            }
            List<String> names = new ArrayList<>();
            for (String key : keys) {
              if (!parts.containsKey(key)) {
                // Not to be had now, or gone because the job has ended meanwhile: then its record
                // says so.
                then.accept(false);
                return;
              }
              names.addAll(parts.get(key));
            }
            enter(job, names);
            readParts(jobs);
          });
    }
  }

  /** All that ended since the last look, as of now. */
  private void look(List<Question> asked) {
    DependencyGraph into = dependencyGraph;
    store.watch(
        JobStore.ENDED,
        storeRevision,
        0,
        changes -> {
          if (into != dependencyGraph) {
            answer(asked, Answer.UNAVAILABLE);
            return;
          }
          if (changes.status() == HttpStatus.GONE) {
            reset();
            again(asked);
            return;
          }
          if (changes.status() != HttpStatus.OK) {
            if (changes.status() == HttpStatus.TOO_MANY_REQUESTS) {
              again(asked);
            } else {
              answer(asked, Answer.UNAVAILABLE);
            }
            return;
          }
          for (StateClient.KeyEvent change : changes.events()) {
            JobState how = change.data() == null ? null : JobStore.finalState(change.data());
            if (how != null) {
              String uid = change.key().substring(JobStore.ENDED.length());
              // Also of jobs that are not in the book: one that was read before it ended may be on
              // its way into it.
              ends.ended(uid, how);
              dependencyGraph.recordEnd(uid, how, JobStore.endedWallMicros(change.data()));
              whole.remove(uid);
            }
          }
          storeRevision = Math.max(storeRevision, changes.storeRevision());
          forgetNews();
          for (Question question : asked) {
            question.then.accept(
                ends.known(question.uid) != null
                    ? Answer.ENDED
                    : switch (dependencyGraph.stateOf(question.uid)) {
                      case WAITING -> Answer.WAITING;
                      case RELEASED -> Answer.RELEASED;
                      case CANCELLED -> Answer.CANCELLED;
                      case DONE -> Answer.ENDED;
                      case UNKNOWN -> Answer.UNAVAILABLE;
                    });
          }
        });
  }

  private void again(List<Question> asked) {
    for (Question question : asked) {
      if (question.tries > 1) {
        loop.after(
            AGAIN_MICROS, () -> ask(new Question(question.uid, question.tries - 1, question.then)));
      } else {
        question.then.accept(Answer.UNAVAILABLE);
      }
    }
  }

  private static void answer(List<Question> asked, Answer answer) {
    asked.forEach(q -> q.then.accept(answer));
  }

  private void reset() {
    dependencyGraph = new DependencyGraph();
    whole = new HashSet<>();
    storeRevision = -1;
  }
}
