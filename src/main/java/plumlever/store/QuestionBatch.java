package plumlever.store;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import plumlever.concurrent.Loop;

/**
 * Collects lookups for a short time so that a single request serves all of them.
 *
 * @param <Q> the type of a lookup
 */
final class QuestionBatch<Q> {
  private static final long COLLECT_MICROS = 25_000;

  private final Loop loop;
  private final IntSupplier maxSize;
  private final Consumer<List<Q>> request;
  private List<Q> collected = new ArrayList<>();

  /**
   * @param maxSize the batch size at which the request is sent without further delay
   * @param request sends the request for a batch, which is never empty
   */
  QuestionBatch(Loop loop, IntSupplier maxSize, Consumer<List<Q>> request) {
    this.loop = loop;
    this.maxSize = maxSize;
    this.request = request;
  }

  void add(Q question) {
    collected.add(question);
    if (collected.size() == 1) {
      loop.after(COLLECT_MICROS, this::ask);
    } else if (collected.size() >= maxSize.getAsInt()) {
      ask();
    }
  }

  private void ask() {
    if (collected.isEmpty()) {
      return;
    }
    List<Q> questions = collected;
    collected = new ArrayList<>();
    request.accept(questions);
  }
}
