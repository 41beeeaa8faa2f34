package plumlever.peer;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumlever.http.TaskCounts;

/**
 * The status that a controller reports to its peers. Advisory only: correctness must not depend on
 * it.
 *
 * @param storeRefusedMicros for how long the state service has refused the sender or not responded;
 *     0 if it served the last request
 * @param lateMicros how late the sender's controller loop recently ran
 * @param workers the number of workers that recently sent heartbeats to the sender while it did not
 *     lead
 * @param counts by job, the numbers of finished and running tasks, for display; only a leader
 *     reports them
 * @param confirmedCancellations jobs whose cancellation the sender recently confirmed to users. The
 *     leader stops their tasks even while the state service refuses the leader's reads.
 */
public record PeerStatus(
    String label,
    long term,
    boolean leading,
    long storeRefusedMicros,
    long lateMicros,
    int workers,
    Map<String, TaskCounts> counts,
    List<String> confirmedCancellations) {

  /**
   * The Kryo encoding of the status. The serializer is written by hand to avoid reflection at
   * start-up.
   */
  public static final class Codec {
    private static final int MAX_BYTES = 256 * 1024;
    private static final int INITIAL_BUFFER_BYTES = 4 * 1024;

    /** The Kryo type id that precedes an encoded status. Earlier versions expect this id. */
    private static final int REGISTRATION_ID = 100;

    private final Kryo kryo = new Kryo();
    private final Output output = new Output(INITIAL_BUFFER_BYTES, MAX_BYTES);

    /** Creates a codec that is used by one thread only. */
    public Codec() {
      kryo.setRegistrationRequired(true);
      kryo.register(PeerStatus.class, new StatusSerializer(), REGISTRATION_ID);
    }

    /** Encodes a status for sending. */
    public byte[] write(PeerStatus peerStatus) {
      output.reset();
      kryo.writeObject(output, peerStatus);
      return output.toBytes();
    }

    /**
     * Decodes a received status.
     *
     * @throws UnreadablePeerStatusException if the bytes are not a valid status
     */
    public PeerStatus read(byte[] bytes) {
      try {
        return kryo.readObject(new Input(bytes), PeerStatus.class);
      } catch (KryoException
          | IllegalArgumentException
          | IndexOutOfBoundsException
          | NegativeArraySizeException e) {
        throw new UnreadablePeerStatusException(e);
      }
    }
  }

  private static final class StatusSerializer extends Serializer<PeerStatus> {
    private static final int MAX_COUNTS = 5_000;
    private static final int MAX_CONFIRMED_CANCELLATIONS = 500;

    @Override
    public void write(Kryo kryo, Output out, PeerStatus peerStatus) {
      out.writeString(peerStatus.label);
      out.writeVarLong(peerStatus.term, true);
      out.writeBoolean(peerStatus.leading);
      out.writeVarLong(peerStatus.storeRefusedMicros, true);
      out.writeVarLong(peerStatus.lateMicros, true);
      out.writeVarInt(peerStatus.workers, true);
      writeCounts(out, peerStatus.counts);
      // The confirmed cancellations are written last, because earlier versions do not know this
      // field and ignore everything after the fields before.
      writeCancellations(out, peerStatus.confirmedCancellations);
    }

    private static void writeCounts(Output out, Map<String, TaskCounts> counts) {
      int size = Math.min(counts.size(), MAX_COUNTS);
      out.writeVarInt(size, true);
      counts.entrySet().stream()
          .limit(size)
          .forEach(
              entry -> {
                out.writeString(entry.getKey());
                out.writeVarInt(entry.getValue().done(), true);
                out.writeVarInt(entry.getValue().running(), true);
              });
    }

    private static void writeCancellations(Output out, List<String> uids) {
      int size = Math.min(uids.size(), MAX_CONFIRMED_CANCELLATIONS);
      out.writeVarInt(size, true);
      uids.stream().limit(size).forEach(out::writeString);
    }

    @Override
    public PeerStatus read(Kryo kryo, Input in, Class<? extends PeerStatus> type) {
      String label = in.readString();
      long term = in.readVarLong(true);
      boolean leading = in.readBoolean();
      long storeRefusedMicros = in.readVarLong(true);
      long lateMicros = in.readVarLong(true);
      int workers = in.readVarInt(true);
      if (label == null) {
        throw new KryoException("peer status has no label");
      }
      return new PeerStatus(
          label,
          term,
          leading,
          storeRefusedMicros,
          lateMicros,
          workers,
          readCounts(in),
          readCancellations(in));
    }

    private static Map<String, TaskCounts> readCounts(Input in) {
      int size = readSize(in, MAX_COUNTS);
      Map<String, TaskCounts> counts = new LinkedHashMap<>();
      for (int i = 0; i < size; i++) {
        counts.put(in.readString(), new TaskCounts(in.readVarInt(true), in.readVarInt(true)));
      }
      return counts;
    }

    /**
     * Reads the ids of jobs whose cancellation the sender confirmed; empty for messages of earlier
     * versions, which end before this field.
     */
    private static List<String> readCancellations(Input in) {
      List<String> uids = new ArrayList<>();
      if (in.position() < in.limit()) {
        int size = readSize(in, MAX_CONFIRMED_CANCELLATIONS);
        for (int i = 0; i < size; i++) {
          uids.add(in.readString());
        }
      }
      return uids;
    }

    private static int readSize(Input in, int max) {
      int size = in.readVarInt(true);
      if (size < 0 || size > max) {
        throw new KryoException("entry count " + size + " is not between 0 and " + max);
      }
      return size;
    }
  }
}
