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
 * Stores the end of jobs that are cancelled because a dependency was cancelled. One at a time: to
 * whoever asks for their state they are cancelled already, so this is not urgent.
 */
final class DependentCancellation {
  private static final long RETRY_MICROS = 500_000;

  private final TermContext context;
  private final Consumer<String> stored;
  private final Map<String, Job> queue = new LinkedHashMap<>();
  private boolean writing;
  private boolean closed;

  /**
   * Cancels nothing yet.
   *
   * @param stored takes the id of each job once its cancellation is stored
   */
  DependentCancellation(TermContext context, Consumer<String> stored) {
    this.context = context;
    this.stored = stored;
  }

  /**
   * Queues the job until the next call of {@link #run}.
   *
   * @return false if it was queued already
   */
  boolean add(Job job) {
    return queue.put(job.uid(), job) == null;
  }

  /** The job has ended, or is not cancelled any more. */
  void remove(String uid) {
    queue.remove(uid);
  }

  /** Stores the end of the first job in the queue, and those of the others after it. */
  void run() {
    if (writing || closed) {
      return;
    }
    Iterator<Job> jobs = queue.values().iterator();
    while (jobs.hasNext()) {
      Job job = jobs.next();
      if (!job.over()) {
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
            .layout()
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
                stored.accept(job.uid());
                run();
                return;
              }
              if (result.outcome() == Transaction.Outcome.CONFLICT) {
                // Stored by a controller that was asked about the job: the watch will report it.
                queue.remove(job.uid());
              }
              context.loop().after(RETRY_MICROS, this::run);
            });
  }

  void close() {
    closed = true;
  }
}
