package plumlever.store;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.Optional;
import java.util.OptionalLong;
import plumlever.wire.JobState;

/** What is known of jobs without asking, in bounded memory: what is evicted is read again. */
final class KnownJobs {
  private static final int MAX_ENDED = 20_000;
  private static final int MAX_ACTIVE = 5_000;

  /** Final states never change, so they may be told from memory. */
  private final Cache<String, JobState> finalStates = cache(MAX_ENDED);

  /** Of records that were active when last seen: they may have changed since. */
  private final Cache<String, Long> activeRevisions = cache(MAX_ACTIVE);

  private static <V> Cache<String, V> cache(int maxSize) {
    return CacheBuilder.newBuilder().concurrencyLevel(1).maximumSize(maxSize).build();
  }

  /** The job's end is stored. */
  void jobEnded(String uid, JobState finalState) {
    activeRevisions.invalidate(uid);
    finalStates.put(uid, finalState);
  }

  /** The job's active record was seen with this revision. */
  void activeSeen(String uid, long revision) {
    activeRevisions.put(uid, revision);
  }

  /** The job's active record has changed, or is gone. */
  void forgetActive(String uid) {
    activeRevisions.invalidate(uid);
  }

  Optional<JobState> finalState(String uid) {
    return Optional.ofNullable(finalStates.getIfPresent(uid));
  }

  OptionalLong activeRevision(String uid) {
    Long revision = activeRevisions.getIfPresent(uid);
    return revision == null ? OptionalLong.empty() : OptionalLong.of(revision);
  }
}
