package plumlever.leader.record;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/** One stored value of {@link SharedRecords}: its entries, its size and what is due to it. */
final class RecordChunk<E> {
  final int number;
  private final Set<E> entries = new LinkedHashSet<>();
  private int bytes;

  /** Of these, bytes of entries that are being moved to other chunks. */
  private int departingBytes;

  /** Revision of the stored value, 0 where there is none. */
  long revision;

  /** When it was last sent or loaded; 0 before. */
  long writtenMicros;

  boolean writing;

  /** An entry must be stored before it can be used. */
  boolean writeDue;

  /** Entries have left that are still stored; that can wait. */
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

  /** What its size will be once all moves to other chunks are complete. */
  int bytesAfterMoves() {
    return bytes - departingBytes;
  }

  void add(E entry, int size) {
    entries.add(entry);
    bytes += size;
  }

  /** Takes the entry out, which is to be cleaned up in the stored value; false if not in it. */
  boolean remove(E entry, int size) {
    if (!entries.remove(entry)) {
      return false;
    }
    bytes -= size;
    cleanUpDue = true;
    return true;
  }

  /** An entry of that size is being moved to another chunk. */
  void moveStarted(int size) {
    departingBytes += size;
  }

  /** The move of an entry of that size is complete or given up. */
  void moveEnded(int size) {
    departingBytes -= size;
  }
}
