package plumlever.http;

import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import plumlever.concurrent.Loop;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SharingSettings;
import plumlever.store.JobStore;
import plumlever.store.KeySpace;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.ForwardedRequest;
import plumlever.wire.HttpStatus;

/**
 * Finds jobs in the other cells of a pool, and has a controller of a job's own cell answer for it.
 * That a job is in no cell rests on one read of all of them, begun after the question came in.
 */
public final class JobForwarder {
  /** Where a job was found. */
  public enum Presence {
    NOWHERE,
    IN_CELL,
    UNAVAILABLE
  }

  /**
   * @param cell only for {@link Presence#IN_CELL}
   */
  public record Location(Presence presence, Optional<SharingSettings.Cell> cell) {
    private static final Location NOWHERE = new Location(Presence.NOWHERE, Optional.empty());
    private static final Location UNAVAILABLE =
        new Location(Presence.UNAVAILABLE, Optional.empty());
  }

  private static final long TIMEOUT_MICROS = 1_500_000;
  private static final long AGAIN_MICROS = 150_000;
  private static final int TRIES = 4;
  private static final int RETRY_AFTER_S = 1;

  private final Loop loop;
  private final StateClient store;
  private final Caller caller;
  private final PlatformConfiguration platform;
  private final SharingSettings sharing;

  /** Looks in the other cells of this pool. */
  public JobForwarder(
      Loop loop,
      StateClient store,
      Caller caller,
      PlatformConfiguration platform,
      SharingSettings sharing) {
    this.loop = loop;
    this.store = store;
    this.caller = caller;
    this.platform = platform;
    this.sharing = sharing;
  }

  /** Finds out in which other cell the job is. */
  public void find(String uid, Consumer<Location> then) {
    find(uid, TRIES, then);
  }

  private void find(String uid, int tries, Consumer<Location> then) {
    Transaction transaction = new Transaction();
    for (SharingSettings.Cell cell : sharing.otherCells()) {
      transaction.require(activeKey(cell, uid), 0).require(endedKey(cell, uid), 0);
    }
    store.transaction(
        transaction,
        StateClient.RequestPriority.ORDINARY,
        result -> {
          switch (result.outcome()) {
            case APPLIED -> then.accept(Location.NOWHERE);
            case CONFLICT -> look(uid, sharing.otherCells().iterator(), then);
            default -> {
              if (result.status() == HttpStatus.TOO_MANY_REQUESTS && tries > 1) {
                loop.after(AGAIN_MICROS, () -> find(uid, tries - 1, then));
              } else {
                then.accept(Location.UNAVAILABLE);
              }
            }
          }
        });
  }

  private static String activeKey(SharingSettings.Cell cell, String uid) {
    return KeySpace.absolute(cell.prefix(), JobStore.activeKey(uid));
  }

  private static String endedKey(SharingSettings.Cell cell, String uid) {
    return KeySpace.absolute(cell.prefix(), JobStore.endedKey(uid));
  }

  /** Some cell has it; it never leaves that cell, so they are looked at one after the other. */
  private void look(String uid, Iterator<SharingSettings.Cell> cells, Consumer<Location> then) {
    if (!cells.hasNext()) {
      then.accept(Location.UNAVAILABLE);
      return;
    }
    SharingSettings.Cell cell = cells.next();
    Location here = new Location(Presence.IN_CELL, Optional.of(cell));
    store.get(
        activeKey(cell, uid),
        StateClient.RequestPriority.ORDINARY,
        active -> {
          if (active.found()) {
            then.accept(here);
          } else if (active.missing()) {
            store.get(
                endedKey(cell, uid),
                StateClient.RequestPriority.ORDINARY,
                ended -> {
                  if (ended.found()) {
                    then.accept(here);
                  } else if (ended.missing()) {
                    look(uid, cells, then);
                  } else {
                    then.accept(Location.UNAVAILABLE);
                  }
                });
          } else {
            then.accept(Location.UNAVAILABLE);
          }
        });
  }

  /** Has a controller of the cell answer the request, the first that can be reached. */
  public void forward(SharingSettings.Cell cell, ForwardedRequest request, Responder out) {
    List<PlatformConfiguration.PeerController> members =
        platform.peers().stream()
            .filter(seed -> cell.controllers().contains(seed.label()))
            .toList();
    forward(members.iterator(), request.write(), out);
  }

  private void forward(
      Iterator<PlatformConfiguration.PeerController> members, byte[] body, Responder out) {
    if (!members.hasNext()) {
      out.later(
          HttpStatus.UNAVAILABLE, "no controller of the job's cell can be reached", RETRY_AFTER_S);
      return;
    }
    caller.call(
        members.next().endpoint(),
        "POST",
        ForwardedRequest.PATH,
        body,
        TIMEOUT_MICROS,
        (status, answer) -> {
          if (status == 0 || status >= HttpStatus.SERVER_ERRORS) {
            forward(members, body, out);
          } else {
            int retryS = status == HttpStatus.TOO_MANY_REQUESTS ? RETRY_AFTER_S : 0;
            out.send(status, new String(answer, StandardCharsets.UTF_8), retryS);
          }
        });
  }
}
