package plumlever.leader.pool;

import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.leader.context.TermContext;
import plumlever.lease.RenewalLimit;
import plumlever.store.KeySpace;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;
import plumlever.wire.HttpStatus;

/**
 * Watches the state service for the ends of another shard's jobs that have tasks on this shard's
 * machines (foreign tasks). The leases of these machines are renewed only while this leader would
 * learn in time of a cancellation that the other shard has confirmed.
 */
final class EndedJobsWatch {
  private static final long RETRY_MICROS = 300_000;

  private final Logger log;
  private final TermContext context;
  private final String prefix;
  private final RenewalLimit renewalLimit;
  private final Set<String> watched = new HashSet<>();
  private final Set<String> jobsToRead = new HashSet<>();
  private final Set<String> ended = new HashSet<>();
  private long storeRevision = -1;
  private long lastReadMicros = Long.MIN_VALUE / 4;
  private boolean watching;
  private boolean closed;

  /**
   * @param shardPrefix prefix of the other shard's keys in the state service
   */
  EndedJobsWatch(TermContext context, String shardPrefix) {
    this.context = context;
    this.log = context.loggerProvider().of(EndedJobsWatch.class);
    this.prefix = KeySpace.absolute(shardPrefix, RecordLayout.ACTIVE);
    this.renewalLimit = new RenewalLimit(context.platform().workers());
  }

  /** Starts to watch a job that has foreign tasks on this shard's machines. */
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

  /** Stops watching all jobs except the given ones. */
  void keepOnly(Set<String> uids) {
    watched.retainAll(uids);
    jobsToRead.retainAll(uids);
    ended.retainAll(uids);
  }

  /** Returns true once the state service has shown that the job has ended. */
  boolean hasEnded(String uid) {
    return ended.contains(uid);
  }

  /**
   * Returns the time at which the latest answered read was sent that shows which watched jobs have
   * ended. While a watched job has not been read yet, returns a time in the distant past.
   */
  long endedJobsReadMicros() {
    return jobsToRead.isEmpty() ? lastReadMicros : Long.MIN_VALUE / 4;
  }

  /**
   * Reads the current revision of the state service before the jobs are read. The watch starts at
   * this revision and shows the jobs that end later; the reads of the jobs show those that ended
   * before.
   */
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
              lastReadMicros = sent;
              jobsToRead.addAll(watched);
              Set.copyOf(jobsToRead).forEach(this::readJob);
              pollWatch();
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

  private void pollWatch() {
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
            renewalLimit.watchTimeoutMicros(),
            response -> {
              if (closed) {
                return;
              }
              if (response.status() == HttpStatus.GONE) {
                log.debug("watch on {} missed changes, rereading all watched jobs", prefix);
                readStoreRevision();
              } else if (response.status() != HttpStatus.OK) {
                context.loop().after(RETRY_MICROS, this::pollWatch);
              } else {
                storeRevision = Math.max(storeRevision, response.storeRevision());
                lastReadMicros = sent;
                for (StateClient.KeyEvent event : response.events()) {
                  String uid = event.key().substring(prefix.length());
                  if (event.deleted() && watched.contains(uid)) {
                    ended.add(uid);
                  }
                }
                pollWatch();
              }
            });
  }

  void close() {
    closed = true;
  }
}
