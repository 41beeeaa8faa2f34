package plumlever.store;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import plumlever.concurrent.Loop;

/**
 * Collects questions for a moment, so that one request answers all of them.
 *
 * @param <Q> a question
 */
final class QuestionBatch<Q> {
  private static final long COLLECT_MICROS = 25_000;

  private final Loop loop;
  private final IntSupplier maxSize;
  private final Consumer<List<Q>> request;
  private List<Q> collected = new ArrayList<>();

  /**
   * @param maxSize as many questions as are not collected any longer
   * @param request asks all that were collected; never none
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
