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
import plumlever.leader.context.TermContext;
import plumlever.store.StateClient;
import plumlever.store.Transaction;

/**
 * Entries of which many share one stored value, a chunk, since the state service limits changes
 * most. Each write is guarded by the term and by the chunk's own revision: one that is executed
 * late can't undo another, nor a successor's. An entry counts as stored only after the answer that
 * says so.
 *
 * <p>A chunk that an earlier limit allowed may be larger than one may be now. It is not written as
 * it is: what does not fit is first written to other chunks, and only when that is known to be
 * stored does it leave the large one. Interrupted at any point, an entry is in one chunk or in two,
 * never in none.
 */
public final class SharedRecords<E extends Registrable> {
  private static final long CLEAN_UP_MICROS = 5_000_000;
  private static final int CHECKS_PER_CLEAN_UP = 4;
  private static final long RETRY_MICROS = 300_000;
  private static final long NO_RECORD = 0;

  /** How entries are stored. */
  public interface Layout<E> {
    /** The key of the chunk with this number. */
    String key(int number);

    /** Bytes that the entry takes of a chunk; the same from its registration on. */
    int bytes(E entry);

    /** Bytes that every chunk takes besides. */
    int baseBytes();

    /** The value of a chunk with these entries. */
    ObjectNode value(List<E> entries);
  }

  private final TermContext context;
  private final Layout<E> layout;

  /** Entries that are registered within this time after a write are written together. */
  private final long pauseMicros;

  private final Runnable stored;
  private final Map<Integer, RecordChunk<E>> chunks = new LinkedHashMap<>();
  private final Map<E, RecordChunk<E>> chunkByEntry = new HashMap<>();

  /** The destinations of entries that are being moved out of chunks that are too large. */
  private final Map<E, RecordChunk<E>> destinationByEntry = new HashMap<>();

  private boolean closed;

  /**
   * No entries, until they are loaded or registered.
   *
   * @param pauseMicros least pause between two writes of a chunk
   * @param stored runs after entries have become stored
   */
  public SharedRecords(TermContext context, Layout<E> layout, long pauseMicros, Runnable stored) {
    this.context = context;
    this.layout = layout;
    this.pauseMicros = pauseMicros;
    this.stored = stored;
  }

  /**
   * Takes over a chunk as an earlier leader stored it.
   *
   * @param entries those that are still of use; the others leave with the next write
   */
  public void load(int number, long revision, List<E> entries) {
    RecordChunk<E> chunk = new RecordChunk<>(number, layout.baseBytes());
    chunk.revision = revision;
    chunk.writtenMicros = context.loop().nowMicros();
    chunks.put(number, chunk);
    for (E entry : entries) {
      entry.setRegistration(RegistrationState.STORED);
      add(chunk, entry);
    }
  }

  private void add(RecordChunk<E> chunk, E entry) {
    chunk.add(entry, layout.bytes(entry));
    chunkByEntry.put(entry, chunk);
  }

  /** Has the entry stored, unless it is stored or being stored already. */
  public void register(E entry) {
    if (entry.registration() != RegistrationState.NONE) {
      return;
    }
    entry.setRegistration(RegistrationState.WRITING);
    RecordChunk<E> chunk = chunkWithCapacity(layout.bytes(entry));
    add(chunk, entry);
    chunk.writeDue = true;
    write(chunk);
  }

  private RecordChunk<E> chunkWithCapacity(int bytes) {
    for (RecordChunk<E> chunk : chunks.values()) {
      if (chunk.bytes() + bytes <= context.layout().valueBytes()) {
        return chunk;
      }
    }
    int number = 0;
    while (chunks.containsKey(number)) {
      number++;
    }
    RecordChunk<E> chunk = new RecordChunk<>(number, layout.baseBytes());
    chunks.put(number, chunk);
    return chunk;
  }

  /**
   * The entry is of no use any more. It leaves its chunk with the next write, or with a clean-up.
   */
  public void remove(E entry) {
    // It may be registered anew, and is not stored then.
    entry.setRegistration(RegistrationState.NONE);
    RecordChunk<E> destination = destinationByEntry.remove(entry);
    RecordChunk<E> chunk = chunkByEntry.remove(entry);
    if (chunk == null) {
      return;
    }
    int size = layout.bytes(entry);
    if (destination != null) {
      destination.remove(entry, size);
      chunk.moveEnded(size);
    }
    chunk.remove(entry, size);
  }

  /**
   * Divides chunks that are too large, and writes those from which entries have been removed.
   *
   * @return microseconds until this should be called next
   */
  public long cleanUp() {
    long now = context.loop().nowMicros();
    for (RecordChunk<E> chunk : List.copyOf(chunks.values())) {
      if (isOversized(chunk)) {
        moveExcess(chunk);
      } else if (chunk.cleanUpDue && now - chunk.writtenMicros > CLEAN_UP_MICROS) {
        write(chunk);
      }
    }
    return CLEAN_UP_MICROS / CHECKS_PER_CLEAN_UP;
  }

  private boolean isOversized(RecordChunk<E> chunk) {
    return chunk.bytes() > context.layout().valueBytes();
  }

  /** Has what does not fit the chunk stored in others; it stays in this one until that is done. */
  private void moveExcess(RecordChunk<E> chunk) {
    Set<RecordChunk<E>> destinations = new LinkedHashSet<>();
    for (E entry : List.copyOf(chunk.entries())) {
      if (chunk.bytesAfterMoves() <= context.layout().valueBytes()) {
        break;
      }
      if (!destinationByEntry.containsKey(entry)) {
        destinations.add(startMove(chunk, entry));
      }
    }
    destinations.forEach(this::write);
  }

  private RecordChunk<E> startMove(RecordChunk<E> chunk, E entry) {
    int size = layout.bytes(entry);
    RecordChunk<E> destination = chunkWithCapacity(size);
    destination.add(entry, size);
    destination.writeDue = true;
    destinationByEntry.put(entry, destination);
    chunk.moveStarted(size);
    return destination;
  }

  /** The entry is stored in its destination, and leaves the chunk in which it was before. */
  private RecordChunk<E> completeMove(E entry, RecordChunk<E> destination) {
    destinationByEntry.remove(entry);
    RecordChunk<E> source = chunkByEntry.put(entry, destination);
    int size = layout.bytes(entry);
    if (source.remove(entry, size)) {
      source.moveEnded(size);
    }
    return source;
  }

  private void write(RecordChunk<E> chunk) {
    if (closed || chunk.writing || !(chunk.writeDue || chunk.cleanUpDue)) {
      return;
    }
    if (isOversized(chunk)) {
      moveExcess(chunk);
      return;
    }
    chunk.writing = true;
    long waitMicros =
        chunk.writtenMicros == 0
            ? 0
            : Math.max(0, chunk.writtenMicros + pauseMicros - context.loop().nowMicros());
    context.loop().after(waitMicros, () -> sendIfPossible(chunk));
  }

  private void sendIfPossible(RecordChunk<E> chunk) {
    if (closed) {
      chunk.writing = false;
    } else if (!context.term().mayAct()) {
      chunk.writing = false;
      context.loop().after(RETRY_MICROS, () -> write(chunk));
    } else if (isOversized(chunk)) {
      // The limit has fallen during the pause.
      chunk.writing = false;
      moveExcess(chunk);
    } else {
      send(chunk);
    }
  }

  private void send(RecordChunk<E> chunk) {
    chunk.writeDue = false;
    chunk.cleanUpDue = false;
    chunk.writtenMicros = context.loop().nowMicros();
    List<E> written = new ArrayList<>(chunk.entries());
    context
        .store()
        .transaction(
            transaction(chunk, written),
            StateClient.RequestPriority.ORDINARY,
            result -> {
              if (closed) {
                return;
              }
              switch (result.outcome()) {
                case APPLIED -> applied(chunk, written, result.revision());
                case REFUSED -> writeLater(chunk);
                default -> refreshRevision(chunk);
              }
            });
  }

  private Transaction transaction(RecordChunk<E> chunk, List<E> entries) {
    String key = layout.key(chunk.number);
    Transaction transaction = context.term().requireTerm().require(key, chunk.revision);
    return entries.isEmpty()
        ? transaction.delete(key)
        : transaction.put(key, layout.value(entries));
  }

  private void applied(RecordChunk<E> chunk, List<E> written, long revision) {
    chunk.revision = written.isEmpty() ? NO_RECORD : revision;
    chunk.writing = false;
    markStored(chunk, written);
    Set<RecordChunk<E>> sources = new LinkedHashSet<>();
    for (E entry : written) {
      if (destinationByEntry.get(entry) == chunk) {
        sources.add(completeMove(entry, chunk));
      }
    }
    sources.forEach(this::write);
    write(chunk);
  }

  private void markStored(RecordChunk<E> chunk, List<E> written) {
    boolean newlyStored = false;
    for (E entry : written) {
      boolean stillAssigned =
          chunkByEntry.get(entry) == chunk || destinationByEntry.get(entry) == chunk;
      if (stillAssigned && entry.registration() == RegistrationState.WRITING) {
        entry.setRegistration(RegistrationState.STORED);
        newlyStored = true;
      }
    }
    if (newlyStored) {
      stored.run();
    }
  }

  private void writeLater(RecordChunk<E> chunk) {
    chunk.writeDue = true;
    context
        .loop()
        .after(
            RETRY_MICROS,
            () -> {
              chunk.writing = false;
              write(chunk);
            });
  }

  /**
   * The transaction may have been executed, or may be yet: the next write is guarded by what is
   * stored now.
   */
  private void refreshRevision(RecordChunk<E> chunk) {
    context
        .store()
        .get(
            layout.key(chunk.number),
            StateClient.RequestPriority.ORDINARY,
            got -> {
              if (got.found()) {
                chunk.revision = got.item().revision();
              } else if (got.missing()) {
                chunk.revision = NO_RECORD;
              }
              writeLater(chunk);
            });
  }

  /** Stops writing; outcomes of writes that are under way are ignored. */
  public void close() {
    closed = true;
  }
}
