package plumlever;

import java.util.Optional;
import java.util.function.Function;
import plumlever.concurrent.Loop;
import plumlever.election.ElectionListener;
import plumlever.election.Term;
import plumlever.leader.Leader;
import plumlever.leader.context.TermContext;
import plumlever.store.StateClient;

/** Begins and ends this controller's terms: there is a {@link Leader} while it leads, else none. */
final class Leadership implements ElectionListener {
  private final Loop loop;
  private final StateClient store;
  private final Function<Term, TermContext> contexts;
  private Optional<Leader> leader = Optional.empty();

  /**
   * @param contexts gives what a leader works with in the term
   */
  Leadership(Loop loop, StateClient store, Function<Term, TermContext> contexts) {
    this.loop = loop;
    this.store = store;
    this.contexts = contexts;
  }

  @Override
  public void elected(Term term) {
    loop.execute(() -> begin(term));
  }

  @Override
  public void steppedDown(Term term) {
    loop.execute(this::end);
  }

  @Override
  public void executeOnControllerLoop(Runnable action) {
    loop.execute(action);
  }

  /**
   * A term that has ended by the time this thread gets to it is not begun: another may be under way
   * elsewhere.
   */
  private void begin(Term term) {
    end();
    if (term.mayAct()) {
      store.setLeading(true);
      Leader elected = new Leader(contexts.apply(term));
      leader = Optional.of(elected);
      elected.start();
    }
  }

  private void end() {
    leader.ifPresent(
        leading -> {
          store.setLeading(false);
          leading.close();
        });
    leader = Optional.empty();
  }

  /** The leader in this process, also when its right to act has just ended. */
  Optional<Leader> leader() {
    return leader;
  }
}
