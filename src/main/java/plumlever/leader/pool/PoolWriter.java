package plumlever.leader.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import plumlever.leader.context.TermContext;
import plumlever.store.StateClient;
import plumlever.store.Transaction;

/**
 * Writes records of the pool, one transaction at a time. After a failed precondition or an unknown
 * outcome, the writer rereads the records and asks the step to build its transaction again. The
 * step then decides from the current records whether a change is still needed.
 */
final class PoolWriter {
  /** A requested change of the pool's records. */
  interface Step {
    /**
     * Builds the transaction from the pool's current records; returns empty if no change is needed
     * any more.
     */
    Optional<PoolTransaction> build();

    /** Called when the step has ended: its transaction was applied or is not needed any more. */
    void finished();
  }

  private static final long RETRY_MICROS = 250_000;
  private static final int MAX_QUEUED_STEPS = 4_096;

  private final Logger log;
  private final TermContext context;
  private final PoolRecordWatch recordWatch;
  private final Runnable onChange;
  private final ArrayDeque<Step> queue = new ArrayDeque<>();
  private boolean stepInProgress;
  private boolean closed;

  PoolWriter(TermContext context, PoolRecordWatch recordWatch, Runnable onChange) {
    this.context = context;
    this.log = context.loggerProvider().of(PoolWriter.class);
    this.recordWatch = recordWatch;
    this.onChange = onChange;
  }

  /**
   * Queues a change of the pool's records. Returns false if the queue is full; the caller retries
   * later.
   */
  boolean submit(Step step) {
    if (queue.size() >= MAX_QUEUED_STEPS) {
      return false;
    }
    queue.add(step);
    runNext();
    return true;
  }

  private void runNext() {
    if (stepInProgress || closed || queue.isEmpty()) {
      return;
    }
    stepInProgress = true;
    execute(queue.poll());
  }

  private void finish(Step step) {
    stepInProgress = false;
    step.finished();
    runNext();
  }

  private void execute(Step step) {
    if (closed) {
      return;
    }
    if (!context.term().mayAct()) {
      // This leader has no right to act now. If its term is over, no step is started any more:
      // the next leader continues from the stored records, whose state shows the remaining work.
      context.loop().after(RETRY_MICROS, () -> execute(step));
      return;
    }
    Optional<PoolTransaction> built = step.build();
    if (built.isEmpty()) {
      finish(step);
      return;
    }
    PoolTransaction transaction = built.get();
    context
        .store()
        .transaction(
            transaction.transaction(),
            StateClient.RequestPriority.ORDINARY,
            result -> {
              if (closed) {
                return;
              }
              switch (result.outcome()) {
                case APPLIED -> {
                  transaction
                      .changedValues()
                      .forEach(
                          (key, data) ->
                              recordWatch.apply(
                                  new StateClient.KeyEvent(
                                      key, Optional.ofNullable(data), result.revision())));
                  finish(step);
                  onChange.run();
                }
                case REFUSED -> context.loop().after(RETRY_MICROS, () -> execute(step));
                default -> reread(step, transaction, result.outcome());
              }
            });
  }

  /**
   * Rereads the pool's records that the transaction depends on, to find out whether the transaction
   * was applied.
   */
  private void reread(Step step, PoolTransaction transaction, Transaction.Outcome outcome) {
    log.debug("transaction on pool records ended as {}, rereading its preconditions", outcome);
    List<String> keys = new ArrayList<>(transaction.requiredKeys());
    read(keys, 0, () -> execute(step));
  }

  private void read(List<String> keys, int index, Runnable next) {
    if (closed) {
      return;
    }
    if (index == keys.size()) {
      onChange.run();
      next.run();
      return;
    }
    String key = keys.get(index);
    long revisionBefore = recordWatch.view().revisionOf(key);
    context
        .store()
        .get(
            key,
            StateClient.RequestPriority.ORDINARY,
            result -> {
              if (closed) {
                return;
              }
              if (result.found()) {
                recordWatch.apply(
                    new StateClient.KeyEvent(
                        key, Optional.of(result.item().data()), result.item().revision()));
                read(keys, index + 1, next);
              } else if (result.missing()) {
                recordWatch.markAbsent(key, revisionBefore);
                read(keys, index + 1, next);
              } else {
                context.loop().after(RETRY_MICROS, () -> read(keys, index, next));
              }
            });
  }

  void close() {
    closed = true;
  }
}
