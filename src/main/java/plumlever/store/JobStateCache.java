package plumlever.store;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.Optional;
import java.util.OptionalLong;
import plumlever.wire.JobState;

/** A bounded in-memory cache of job states; a job whose state was evicted is read again. */
final class JobStateCache {
  private static final int MAX_ENDED = 20_000;
  private static final int MAX_ACTIVE = 5_000;

  /**
   * The final states of ended jobs, by job id. A final state never changes, so a cached one is
   * always valid.
   */
  private final Cache<String, JobState> finalStates = cache(MAX_ENDED);

  /**
   * Revisions of the active records of jobs, by job id, as last read; the records may have changed
   * since.
   */
  private final Cache<String, Long> activeRevisions = cache(MAX_ACTIVE);

  private static <V> Cache<String, V> cache(int maxSize) {
    return CacheBuilder.newBuilder().concurrencyLevel(1).maximumSize(maxSize).build();
  }

  /** Records that the final state of the job has been stored. */
  void recordEnd(String uid, JobState finalState) {
    activeRevisions.invalidate(uid);
    finalStates.put(uid, finalState);
  }

  /** Records the revision of the active record of the job. */
  void recordActive(String uid, long revision) {
    activeRevisions.put(uid, revision);
  }

  /**
   * Removes the revision of the active record of the job, because the record has changed or was
   * deleted.
   */
  void evictActive(String uid) {
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
