package plumlever.leader.progress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import plumlever.fleet.Job;
import plumlever.leader.context.ContextFixture;
import plumlever.leader.context.TermContext;
import plumlever.sim.TestJob;
import plumlever.store.RecordLayout;
import plumlever.wire.JobSpec;

/**
 * Tests that records of job progress fit the value size limit after the state service has lowered
 * the limit.
 */
final class ProgressLimitsTest {
  private static final int SMALL_JOBS = 40;
  private static final int SMALL_JOB_TASKS = 600;
  private static final int LARGE_JOB_TASKS = 90_000;

  private final ContextFixture services = new ContextFixture((prefix, then) -> {});
  private final TermContext context = services.context();

  private static Job job(int number, int tasks) {
    JobSpec spec =
        TestJob.job("job-" + number).jobClass("train").tasks(tasks).image("img-1").runS(60).build();
    return new Job(spec, 1, 0, true);
  }

  private static List<Job> smallJobs() {
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < SMALL_JOBS; i++) {
      jobs.add(job(i, SMALL_JOB_TASKS));
    }
    return jobs;
  }

  private void lowerValueLimit() {
    int before = context.recordLayout().maxValueBytes();
    services.refuseValueOfSize(ContextFixture.VALUE_BYTES / 2);
    assertNotEquals(before, context.recordLayout().maxValueBytes(), "the limit must have changed");
  }

  private static int sizeOf(List<Job> jobs) {
    return jobs.stream().mapToInt(job -> RecordLayout.sizeInSharedChunk(job.spec())).sum();
  }

  @Test
  void sharedChunkWithinTheLimitKeepsItsJobs() {
    SharedChunks chunks = new SharedChunks(context);
    smallJobs().forEach(job -> assertTrue(chunks.adopt(job, 0)));
    List<Job> removed = new ArrayList<>();

    chunks.splitOversized(removed::add);

    assertEquals(List.of(), removed);
    assertFalse(chunks.isDirty());
  }

  @Test
  void oversizedSharedChunkIsSplit() {
    SharedChunks chunks = new SharedChunks(context);
    List<Job> kept = smallJobs();
    kept.forEach(job -> assertTrue(chunks.adopt(job, 0)));
    lowerValueLimit();
    List<Job> removed = new ArrayList<>();

    chunks.splitOversized(removed::add);

    kept.removeAll(removed);
    assertFalse(removed.isEmpty());
    assertTrue(sizeOf(kept) <= context.recordLayout().sharedChunkBytes());
    assertTrue(kept.stream().allMatch(chunks::markDirty), "jobs that fit stay in the chunk");
    assertTrue(removed.stream().noneMatch(chunks::markDirty), "removed jobs are in no chunk");
  }

  @Test
  void jobsThatExceedALoweredLimitAreNotAdopted() {
    SharedChunks chunks = new SharedChunks(context);
    lowerValueLimit();
    List<Job> adopted = new ArrayList<>();

    for (Job job : smallJobs()) {
      if (chunks.adopt(job, 0)) {
        adopted.add(job);
      }
    }

    assertTrue(adopted.size() < SMALL_JOBS);
    assertTrue(sizeOf(adopted) <= context.recordLayout().sharedChunkBytes());
  }

  @Test
  void storedChunksOfALargeJobAreNotRewritten() {
    LargeJobChunks chunks = new LargeJobChunks(context);
    Job job = job(1, LARGE_JOB_TASKS);
    job.markCompleted(LARGE_JOB_TASKS - 1);
    chunks.adopt(job, List.of(RecordLayout.progressKey(job.uid(), 0)));

    chunks.enforceValueLimit();

    assertFalse(chunks.isDirty());
  }

  @Test
  void loweredLimitSplitsChunksOfALargeJob() {
    LargeJobChunks chunks = new LargeJobChunks(context);
    Job job = job(1, LARGE_JOB_TASKS);
    job.markCompleted(LARGE_JOB_TASKS - 1);
    chunks.adopt(job, List.of(RecordLayout.progressKey(job.uid(), 0)));
    lowerValueLimit();

    chunks.enforceValueLimit();

    assertTrue(chunks.isDirty());
  }
}
