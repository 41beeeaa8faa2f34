package plumlever.leader.record;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import plumlever.fleet.Registrable;
import plumlever.fleet.RegistrationState;
import plumlever.leader.context.Context;
import plumlever.store.StateClient;
import plumlever.store.Transaction;

/**
 * Entries of which many share one stored value, since changes are what the state service has least
 * of. Each write is guarded by the term and by the record's own revision: one that is carried out
 * late can't undo another, nor a successor's. An entry counts as stored only after the answer that
 * says so.
 *
 * <p>A value that an earlier limit allowed may be larger than one may be now. It is not written as
 * it is: what does not fit is first written to other values, and only when that is known to be
 * stored does it leave the large one. Broken off at any point an entry is in one value or in two,
 * never in none.
 */
public final class SharedRecords<E extends Registrable> {
  private static final long TIDY_MICROS = 5_000_000;
  private static final long RETRY_MICROS = 300_000;

  /** How entries are written. */
  public interface Layout<E> {
    String key(int number);

    /** Room that the entry takes of a value. */
    int bytes(E entry);

    /** Room that every value takes besides. */
    int baseBytes();

    ObjectNode value(List<E> entries);
  }

  /** One stored value. */
  private static final class Chunk<E> {
    final int number;
    final Set<E> entries = new LinkedHashSet<>();
    long revision;
    int bytes;

    /** Of these, bytes of entries on their way to other values. */
    int leaving;

    boolean writing;

    /** Something must be written before it can be used, or can be dropped when there is time. */
    boolean due;

    boolean untidy;
    long writtenMicros;

    Chunk(int number, int bytes) {
      this.number = number;
      this.bytes = bytes;
    }
  }

  private final Context context;
  private final Layout<E> layout;

  /** What comes together within this time is written together. */
  private final long pauseMicros;

  private final Runnable stored;
  private final Map<Integer, Chunk<E>> chunks = new LinkedHashMap<>();
  private final Map<E, Chunk<E>> chunkOf = new HashMap<>();

  /** Where entries go that leave a value that is too large. */
  private final Map<E, Chunk<E>> movingTo = new HashMap<>();

  private boolean closed;

  /**
   * @param stored runs when entries have come to be on record
   */
  public SharedRecords(Context context, Layout<E> layout, long pauseMicros, Runnable stored) {
    this.context = context;
    this.layout = layout;
    this.pauseMicros = pauseMicros;
    this.stored = stored;
  }

  /**
   * Takes over a value as an earlier leader stored it; entries that are no use any more may be
   * missing.
   */
  public void load(int number, long revision, List<E> entries) {
    Chunk<E> chunk = new Chunk<>(number, layout.baseBytes());
    chunk.revision = revision;
    chunk.writtenMicros = context.loop().nowMicros();
    chunks.put(number, chunk);
    for (E entry : entries) {
      entry.setRegistration(RegistrationState.STORED);
      enter(chunk, entry);
    }
  }

  private void enter(Chunk<E> chunk, E entry) {
    chunk.entries.add(entry);
    chunk.bytes += layout.bytes(entry);
    chunkOf.put(entry, chunk);
  }

  /** The entry is to be recorded, if it is not yet. */
  public void enroll(E entry) {
    if (entry.registration() != RegistrationState.NONE) {
      return;
    }
    entry.setRegistration(RegistrationState.WRITING);
    Chunk<E> into = withRoom(layout.bytes(entry));
    enter(into, entry);
    into.due = true;
    write(into);
  }

  private Chunk<E> withRoom(int bytes) {
    for (Chunk<E> chunk : chunks.values()) {
      if (chunk.bytes + bytes <= context.layout().valueBytes()) {
        return chunk;
      }
    }
    int number = 0;
    while (chunks.containsKey(number)) {
      number++;
    }
    Chunk<E> chunk = new Chunk<>(number, layout.baseBytes());
    chunks.put(number, chunk);
    return chunk;
  }

  /**
   * Has what does not fit the value written to others; it stays in this one until that is stored.
   */
  private void shed(Chunk<E> chunk) {
    Set<Chunk<E>> touched = new LinkedHashSet<>();
    for (E entry : List.copyOf(chunk.entries)) {
      if (chunk.bytes - chunk.leaving <= context.layout().valueBytes()) {
        break;
      }
      if (movingTo.containsKey(entry)) {
        continue;
      }
      Chunk<E> to = withRoom(layout.bytes(entry));
      to.entries.add(entry);
      to.bytes += layout.bytes(entry);
      to.due = true;
      touched.add(to);
      movingTo.put(entry, to);
      chunk.leaving += layout.bytes(entry);
    }
    touched.forEach(this::write);
  }

  /** An entry that was on its way is stored in its new value, and leaves the old one. */
  private void moved(E entry, Chunk<E> to) {
    if (movingTo.get(entry) != to) {
      return;
    }
    movingTo.remove(entry);
    Chunk<E> from = chunkOf.put(entry, to);
    if (from != null && from.entries.remove(entry)) {
      from.bytes -= layout.bytes(entry);
      from.leaving -= layout.bytes(entry);
      from.untidy = true;
    }
  }

  /**
   * The entry is of no use any more; it goes with the next write, or when there is time for one.
   */
  public void remove(E entry) {
    // It may come back, and is not on record then.
    entry.setRegistration(RegistrationState.NONE);
    Chunk<E> to = movingTo.remove(entry);
    if (to != null && to.entries.remove(entry)) {
      to.bytes -= layout.bytes(entry);
      to.untidy = true;
    }
    Chunk<E> chunk = chunkOf.remove(entry);
    if (chunk != null) {
      chunk.leaving -= to == null ? 0 : layout.bytes(entry);
      chunk.entries.remove(entry);
      chunk.bytes -= layout.bytes(entry);
      chunk.untidy = true;
    }
  }

  /** One turn of the duty. */
  public long tidy() {
    long now = context.loop().nowMicros();
    for (Chunk<E> chunk : List.copyOf(chunks.values())) {
      if (chunk.bytes > context.layout().valueBytes()) {
        shed(chunk);
      } else if (chunk.untidy && now - chunk.writtenMicros > TIDY_MICROS) {
        write(chunk);
      }
    }
    return TIDY_MICROS / 4;
  }

  private void write(Chunk<E> chunk) {
    if (closed || chunk.writing || !(chunk.due || chunk.untidy)) {
      return;
    }
    if (chunk.bytes > context.layout().valueBytes()) {
      shed(chunk);
      return;
    }
    chunk.writing = true;
    long wait = Math.max(0, chunk.writtenMicros + pauseMicros - context.loop().nowMicros());
    context.loop().after(chunk.writtenMicros == 0 ? 0 : wait, () -> send(chunk));
  }

  private void send(Chunk<E> chunk) {
    if (closed || !context.term().mayAct()) {
      chunk.writing = false;
      if (!closed) {
        context.loop().after(RETRY_MICROS, () -> write(chunk));
      }
      return;
    }
    if (chunk.bytes > context.layout().valueBytes()) {
      // The limit has fallen since this was put off.
      chunk.writing = false;
      shed(chunk);
      return;
    }
    chunk.due = false;
    chunk.untidy = false;
    chunk.writtenMicros = context.loop().nowMicros();
    List<E> written = new ArrayList<>(chunk.entries);
    String key = layout.key(chunk.number);
    Transaction transaction = context.term().requireTerm().require(key, chunk.revision);
    if (written.isEmpty()) {
      transaction.drop(key);
    } else {
      transaction.put(key, layout.value(written));
    }
    context
        .store()
        .transaction(
            transaction,
            StateClient.RequestPriority.ORDINARY,
            result -> {
              if (closed) {
                return;
              }
              switch (result.outcome()) {
                case APPLIED -> {
                  chunk.revision = written.isEmpty() ? 0 : result.revision();
                  chunk.writing = false;
                  stored(chunk, written);
                  Set<Chunk<E>> steppedDown = new LinkedHashSet<>();
                  for (E entry : written) {
                    Chunk<E> from = chunkOf.get(entry);
                    if (movingTo.get(entry) == chunk) {
                      moved(entry, chunk);
                      steppedDown.add(from);
                    }
                  }
                  steppedDown.forEach(this::write);
                  write(chunk);
                }
                case REFUSED -> again(chunk);
                default -> settle(chunk);
              }
            });
  }

  private void stored(Chunk<E> chunk, List<E> written) {
    boolean news = false;
    for (E entry : written) {
      boolean stillHere = chunkOf.get(entry) == chunk || movingTo.get(entry) == chunk;
      if (stillHere && entry.registration() == RegistrationState.WRITING) {
        entry.setRegistration(RegistrationState.STORED);
        news = true;
      }
    }
    if (news) {
      stored.run();
    }
  }

  private void again(Chunk<E> chunk) {
    chunk.due = true;
    context
        .loop()
        .after(
            RETRY_MICROS,
            () -> {
              chunk.writing = false;
              write(chunk);
            });
  }

  /** It may have been written, or may be yet: the next write is guarded by what is there now. */
  private void settle(Chunk<E> chunk) {
    context
        .store()
        .get(
            layout.key(chunk.number),
            StateClient.RequestPriority.ORDINARY,
            got -> {
              if (got.found()) {
                chunk.revision = got.item().revision();
              } else if (got.missing()) {
                chunk.revision = 0;
              }
              again(chunk);
            });
  }

  public void close() {
    closed = true;
  }
}
