package plumlever;

import java.util.Optional;
import java.util.function.Function;
import plumlever.concurrent.EventLoop;
import plumlever.election.ElectionListener;
import plumlever.election.Term;
import plumlever.leader.Leader;
import plumlever.leader.context.TermContext;
import plumlever.store.StateClient;

/**
 * Starts and ends this controller's terms: creates a {@link Leader} when a term begins and closes
 * it when the term ends.
 */
final class Leadership implements ElectionListener {
  private final EventLoop loop;
  private final StateClient store;
  private final Function<Term, TermContext> contextFactory;
  private Optional<Leader> leader = Optional.empty();

  /**
   * @param contextFactory creates the context that the leader uses during a term
   */
  Leadership(EventLoop loop, StateClient store, Function<Term, TermContext> contextFactory) {
    this.loop = loop;
    this.store = store;
    this.contextFactory = contextFactory;
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
   * Starts the leader of a term. A term that ended before the controller loop ran this action is
   * not started, because another controller may already lead.
   */
  private void begin(Term term) {
    end();
    if (term.mayAct()) {
      store.setLeading(true);
      Leader elected = new Leader(contextFactory.apply(term));
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

  /** Returns the leader in this process, even if its lease no longer allows it to act. */
  Optional<Leader> leader() {
    return leader;
  }
}
