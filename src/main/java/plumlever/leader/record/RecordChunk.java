package plumlever.leader.record;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * One chunk, that is one stored value of {@link SharedRecords}, which holds many entries: its
 * entries, its size and its pending changes.
 */
final class RecordChunk<E> {
  final int number;
  private final Set<E> entries = new LinkedHashSet<>();
  private int bytes;

  /**
   * Total size of the entries that are being moved to other chunks; still included in {@link
   * #bytes}.
   */
  private int movingBytes;

  /** Revision of the chunk's stored value; 0 if the chunk is not stored. */
  long revision;

  /**
   * Time at which the chunk was last sent to the state service or loaded from it; 0 if neither has
   * happened.
   */
  long writtenMicros;

  boolean writing;

  /** True if the chunk holds entries that cannot be used until they are stored. */
  boolean writeDue;

  /**
   * True if the chunk's stored value still holds entries that were removed; the write that omits
   * them can be delayed.
   */
  boolean cleanUpDue;

  RecordChunk(int number, int baseBytes) {
    this.number = number;
    this.bytes = baseBytes;
  }

  Set<E> entries() {
    return Collections.unmodifiableSet(entries);
  }

  int bytes() {
    return bytes;
  }

  /** Returns the size of the chunk in bytes once all moves to other chunks are complete. */
  int bytesAfterMoves() {
    return bytes - movingBytes;
  }

  void add(E entry, int size) {
    entries.add(entry);
    bytes += size;
  }

  /**
   * Removes the entry from the chunk and marks the chunk's stored value to be rewritten.
   *
   * @return false if the chunk does not hold the entry
   */
  boolean remove(E entry, int size) {
    if (!entries.remove(entry)) {
      return false;
    }
    bytes -= size;
    cleanUpDue = true;
    return true;
  }

  /** Records that an entry of this size is being moved to another chunk. */
  void moveStarted(int size) {
    movingBytes += size;
  }

  /** Records that the move of an entry of this size is complete or was abandoned. */
  void moveEnded(int size) {
    movingBytes -= size;
  }
}
