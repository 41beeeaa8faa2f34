package plumlever.leader.pool;

import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.leader.context.TermContext;
import plumlever.lease.RenewalLimit;
import plumlever.store.JobStore;
import plumlever.store.KeySpace;
import plumlever.store.StateClient;
import plumlever.wire.HttpStatus;

/**
 * Which jobs of another shard have ended whose tasks are foreign tasks here, read from the state
 * service: the leases of their machines are renewed only while a cancellation confirmed by that
 * shard would be known in time.
 */
final class EndedJobsWatch {
  private static final long RETRY_MICROS = 300_000;

  private final Logger log;
  private final TermContext context;
  private final String prefix;
  private final RenewalLimit limit;
  private final Set<String> watched = new HashSet<>();
  private final Set<String> jobsToRead = new HashSet<>();
  private final Set<String> ended = new HashSet<>();
  private long storeRevision = -1;
  private long knownMicros = Long.MIN_VALUE / 4;
  private boolean watching;
  private boolean closed;

  /**
   * @param shardPrefix of the other shard's keys
   */
  EndedJobsWatch(TermContext context, String shardPrefix) {
    this.context = context;
    this.log = context.logs().of(EndedJobsWatch.class);
    this.prefix = KeySpace.absolute(shardPrefix, JobStore.ACTIVE);
    this.limit = new RenewalLimit(context.platform().workers());
  }

  /** Tasks of the job are foreign tasks here. */
  void watch(String uid) {
    if (!watched.add(uid)) {
      return;
    }
    jobsToRead.add(uid);
    if (!watching) {
      watching = true;
      readStoreRevision();
    } else if (storeRevision >= 0) {
      readJob(uid);
    }
  }

  /** No task of these jobs is a foreign task any more. */
  void keepOnly(Set<String> uids) {
    watched.retainAll(uids);
    jobsToRead.retainAll(uids);
    ended.retainAll(uids);
  }

  /** True once the record says that the job has ended. */
  boolean hasEnded(String uid) {
    return ended.contains(uid);
  }

  /**
   * When the last read that tells of all watched jobs' ends had been sent; long ago while one of
   * them has not been read.
   */
  long endsKnownMicros() {
    return jobsToRead.isEmpty() ? knownMicros : Long.MIN_VALUE / 4;
  }

  /** The revision is asked for first: what ends after it is followed, what ended before is read. */
  private void readStoreRevision() {
    if (closed) {
      return;
    }
    long sent = context.loop().nowMicros();
    context
        .store()
        .storeRevision(
            now -> {
              if (closed) {
                return;
              }
              if (now.isEmpty()) {
                context.loop().after(RETRY_MICROS, this::readStoreRevision);
                return;
              }
              storeRevision = now.getAsLong();
              knownMicros = sent;
              jobsToRead.addAll(watched);
              Set.copyOf(jobsToRead).forEach(this::readJob);
              watch();
            });
  }

  private void readJob(String uid) {
    context
        .store()
        .get(
            prefix + uid,
            StateClient.RequestPriority.ORDINARY,
            result -> {
              if (closed || !jobsToRead.contains(uid)) {
                return;
              }
              if (result.found()) {
                jobsToRead.remove(uid);
              } else if (result.missing()) {
                jobsToRead.remove(uid);
                ended.add(uid);
              } else {
                context.loop().after(RETRY_MICROS, () -> readJob(uid));
              }
            });
  }

  private void watch() {
    if (closed) {
      return;
    }
    if (watched.isEmpty()) {
      watching = false;
      storeRevision = -1;
      return;
    }
    long sent = context.loop().nowMicros();
    context
        .store()
        .watch(
            prefix,
            storeRevision,
            limit.watchMicros(),
            response -> {
              if (closed) {
                return;
              }
              if (response.status() == HttpStatus.GONE) {
                log.debug("changes of {} were missed, all guests' jobs are read anew", prefix);
                readStoreRevision();
              } else if (response.status() != HttpStatus.OK) {
                context.loop().after(RETRY_MICROS, this::watch);
              } else {
                storeRevision = Math.max(storeRevision, response.storeRevision());
                knownMicros = sent;
                for (StateClient.KeyEvent event : response.events()) {
                  String uid = event.key().substring(prefix.length());
                  if (event.deleted() && watched.contains(uid)) {
                    ended.add(uid);
                  }
                }
                watch();
              }
            });
  }

  void close() {
    closed = true;
  }
}
