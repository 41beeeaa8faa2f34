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
 * Stores many entries in each value of the state service, called a chunk, because the limit on
 * changes is the tightest limit of the state service. Each write is guarded by the term and by the
 * chunk's own revision, so a delayed write cannot overwrite a newer write of this leader or of a
 * later leader. An entry counts as stored only after a write that contains it has been
 * acknowledged.
 *
 * <p>If the value size limit has decreased, a chunk may be larger than the limit. An oversized
 * chunk is never written as it is. The entries that do not fit are first written to other chunks,
 * and they leave the oversized chunk only after these writes have been acknowledged. Whenever this
 * procedure is interrupted, each entry is in one or two chunks, never in none.
 */
public final class SharedRecords<E extends Registrable> {
  /** Minimum time between the last write of a chunk and a write that only omits removed entries. */
  private static final long CLEAN_UP_MICROS = 5_000_000;

  /**
   * Number of times within {@link #CLEAN_UP_MICROS} that the chunks are checked for removed entries
   * that are still stored.
   */
  private static final int CHECKS_PER_CLEAN_UP = 4;

  private static final long RETRY_MICROS = 300_000;
  private static final long NO_RECORD = 0;

  /** Defines the keys, the sizes and the contents of the stored chunks. */
  public interface Layout<E> {
    /** Returns the key of the chunk with this number. */
    String key(int number);

    /**
     * Returns the encoded size of the entry in a chunk; must not change once the entry is
     * registered.
     */
    int bytes(E entry);

    /** Returns the size of a chunk without entries. */
    int baseBytes();

    /** Returns the value of a chunk with these entries. */
    ObjectNode value(List<E> entries);
  }

  private final TermContext context;
  private final Layout<E> layout;

  /**
   * Minimum time between two writes of a chunk; entries registered meanwhile are written together.
   */
  private final long pauseMicros;

  private final Runnable onStored;
  private final Map<Integer, RecordChunk<E>> chunks = new LinkedHashMap<>();
  private final Map<E, RecordChunk<E>> chunkByEntry = new HashMap<>();

  /** Destination chunks of the entries that are being moved out of oversized chunks. */
  private final Map<E, RecordChunk<E>> destinationByEntry = new HashMap<>();

  private boolean closed;

  /**
   * Creates an empty set of records.
   *
   * @param pauseMicros minimum time between two writes of a chunk
   * @param onStored runs after registered entries have been stored
   */
  public SharedRecords(TermContext context, Layout<E> layout, long pauseMicros, Runnable onStored) {
    this.context = context;
    this.layout = layout;
    this.pauseMicros = pauseMicros;
    this.onStored = onStored;
  }

  /**
   * Loads a chunk that an earlier leader stored.
   *
   * @param entries the entries that are still needed; the next write of the chunk omits all others
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

  /** Starts to store the entry, unless it is already stored or being written. */
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
      if (chunk.bytes() + bytes <= context.recordLayout().maxValueBytes()) {
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
   * Removes an entry that is no longer needed. The stored value is updated by the next write of the
   * chunk or by a clean-up.
   */
  public void remove(E entry) {
    // Resets the state of the entry: if it is registered again later, it must not count as stored.
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
   * Splits oversized chunks, and rewrites chunks from which entries have been removed.
   *
   * @return microseconds until the next call
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
    return chunk.bytes() > context.recordLayout().maxValueBytes();
  }

  /**
   * Writes the entries that exceed the limit to other chunks. The entries stay in this chunk until
   * the writes have been acknowledged.
   */
  private void moveExcess(RecordChunk<E> chunk) {
    Set<RecordChunk<E>> destinations = new LinkedHashSet<>();
    for (E entry : List.copyOf(chunk.entries())) {
      if (chunk.bytesAfterMoves() <= context.recordLayout().maxValueBytes()) {
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

  /**
   * Completes the move of an entry that is now stored in its destination: the entry leaves its
   * previous chunk.
   *
   * @return the previous chunk
   */
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
      // The chunk is not written, because it exceeds the value size limit, which has decreased
      // since the write was scheduled.
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
      onStored.run();
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
   * Reads the stored revision of the chunk, which the next write requires, because the unanswered
   * transaction may have been executed or may still be executed.
   */
  private void refreshRevision(RecordChunk<E> chunk) {
    context
        .store()
        .get(
            layout.key(chunk.number),
            StateClient.RequestPriority.ORDINARY,
            result -> {
              if (result.found()) {
                chunk.revision = result.item().revision();
              } else if (result.missing()) {
                chunk.revision = NO_RECORD;
              }
              writeLater(chunk);
            });
  }

  /** Stops all writes of chunks; the outcomes of writes in flight are ignored. */
  public void close() {
    closed = true;
  }
}
