package plumlever;

import java.util.Optional;
import java.util.function.Consumer;
import plumlever.concurrent.EventLoop;
import plumlever.leader.context.TermContext;
import plumlever.store.StateClient;

/**
 * Reads the records of earlier leaders on the election loop, so that the reads do not delay the
 * controller loop.
 */
record ElectionLoopReader(EventLoop electionLoop, StateClient electionStore, EventLoop loop)
    implements TermContext.RecoveryReader {
  @Override
  public void list(String prefix, Consumer<Optional<StateClient.Listing>> whenRead) {
    electionLoop.execute(
        () ->
            electionStore.list(
                prefix,
                StateClient.RequestPriority.URGENT,
                listing -> loop.execute(() -> whenRead.accept(listing))));
  }
}
