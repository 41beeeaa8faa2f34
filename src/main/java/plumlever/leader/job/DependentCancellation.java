package plumlever.leader.job;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.JobState;

/**
 * Stores the cancellation of jobs whose dependency was cancelled. The jobs are stored one at a
 * time: status queries already report them as cancelled, so the writes are not urgent.
 */
final class DependentCancellation {
  private static final long RETRY_MICROS = 500_000;

  private final TermContext context;
  private final Consumer<String> onStored;
  private final Map<String, Job> queue = new LinkedHashMap<>();
  private boolean writing;
  private boolean closed;

  /**
   * Creates an empty queue of jobs whose cancellation is to be stored.
   *
   * @param onStored receives the id of each job after its cancellation has been stored
   */
  DependentCancellation(TermContext context, Consumer<String> onStored) {
    this.context = context;
    this.onStored = onStored;
  }

  /**
   * Queues the job; the next call of {@link #run} starts the write.
   *
   * @return false if the job was already queued
   */
  boolean add(Job job) {
    return queue.put(job.uid(), job) == null;
  }

  /** Removes a job from the queue because it has ended or no longer has to be cancelled. */
  void remove(String uid) {
    queue.remove(uid);
  }

  /**
   * Stores the cancellation of the first queued job, and then those of the remaining jobs in order.
   */
  void run() {
    if (writing || closed) {
      return;
    }
    Iterator<Job> jobs = queue.values().iterator();
    while (jobs.hasNext()) {
      Job job = jobs.next();
      if (!job.hasEnded()) {
        cancel(job);
        return;
      }
      jobs.remove();
    }
  }

  private void cancel(Job job) {
    writing = true;
    Transaction transaction =
        context
            .recordLayout()
            .endJob(
                job.uid(),
                job.revision(),
                JobState.CANCELLED,
                context.loop().wallMicros(),
                List.of());
    context
        .store()
        .transaction(
            transaction,
            StateClient.RequestPriority.ORDINARY,
            result -> {
              writing = false;
              if (result.applied()) {
                context.metrics().count("jobs_cancelled_with_dependency");
                onStored.accept(job.uid());
                run();
                return;
              }
              if (result.outcome() == Transaction.Outcome.CONFLICT) {
                // Another controller, on a status query for the job, has already stored its final
                // state. The job needs no write, and the watch will report the change.
                queue.remove(job.uid());
              }
              context.loop().after(RETRY_MICROS, this::run);
            });
  }

  void close() {
    closed = true;
  }
}
