package plumlever;

import java.util.Optional;
import java.util.function.Consumer;
import plumlever.concurrent.Loop;
import plumlever.leader.context.TermContext;
import plumlever.store.StateClient;

/** Reads what earlier leaders left on the election's thread, so that decisions go on meanwhile. */
record ElectionThreadReader(Loop electionLoop, StateClient electionStore, Loop loop)
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
