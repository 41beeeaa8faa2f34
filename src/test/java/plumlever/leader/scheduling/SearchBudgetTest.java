package plumlever.leader.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import plumlever.fleet.Job;
import plumlever.sim.TestJob;

/** Tests that a pass searches a bounded number of jobs and that every kind takes its turn. */
final class SearchBudgetTest {
  private final SearchBudget budget = new SearchBudget();
  private final List<Job> queue = new ArrayList<>();

  private void enqueue(TestJob job) {
    queue.add(new Job(job.build(), 1, 0, false));
  }

  private TestJob next() {
    return TestJob.job("job-" + (100 + queue.size()));
  }

  /** Runs a pass and returns the jobs that it searches. */
  private List<Job> pass() {
    budget.beginPass();
    List<Job> searched = queue.stream().filter(budget::maySearch).toList();
    budget.endPass();
    return searched;
  }

  /** Guards against kinds of jobs that wait for ever behind others. */
  @Test
  void everyKindIsSearchedWithinTheStatedNumberOfPasses() {
    int kinds = 500;
    for (int i = 0; i < kinds; i++) {
      enqueue(next().cores(1 + i));
    }
    int passes = (kinds + SearchBudget.MAX_KINDS_PER_PASS - 1) / SearchBudget.MAX_KINDS_PER_PASS;
    Map<Job, Integer> searches = new HashMap<>();
    for (int i = 0; i < passes + 1; i++) {
      List<Job> searched = pass();
      assertTrue(
          searched.size() <= SearchBudget.MAX_IN_ORDER + SearchBudget.MAX_KINDS_PER_PASS,
          "searches in a pass: " + searched.size());
      searched.forEach(job -> searches.merge(job, 1, Integer::sum));
    }
    assertEquals(kinds, searches.size());
  }

  @Test
  void anotherKindIsSearchedAtOnceBehindAnyNumberOfEqualJobs() {
    for (int i = 0; i < 10_000; i++) {
      enqueue(next().zone("a"));
    }
    enqueue(next().zone("b"));
    List<Job> searched = pass();
    assertEquals(SearchBudget.MAX_IN_ORDER + 1, searched.size());
    assertEquals(queue.get(10_000), searched.get(SearchBudget.MAX_IN_ORDER));
    assertFalse(budget.hasLeftOut());
  }

  @Test
  void kindsWithoutWaitingJobsNeedNoFurtherPass() {
    for (int i = 0; i < 100; i++) {
      enqueue(next().cores(1 + i));
    }
    pass();
    assertTrue(budget.hasLeftOut());
    queue.clear();
    pass();
    assertFalse(budget.hasLeftOut());
  }
}
