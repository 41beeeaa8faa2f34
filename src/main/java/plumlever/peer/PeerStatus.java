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
 * What a controller tells the others of itself. It is advice only: no rule rests on it.
 *
 * @param storeRefusedMicros how long the state service has refused it; 0 while it is served
 * @param lateMicros how late its deciding thread was lately
 * @param workers how many workers reported to it in the last seconds
 * @param counts finished and running tasks by job, from the leader, for display
 * @param confirmedCancellations jobs whose users were lately told through this controller that they
 *     are cancelled: who leads stops their tasks even if the state service refuses to tell it
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

  /** Kryo's form of it; written out, so that nothing is looked up by reflection at start. */
  public static final class Codec {
    private static final int MAX_BYTES = 256 * 1024;
    private static final int INITIAL_BUFFER_BYTES = 4 * 1024;
    private static final int REGISTRATION = 100;
    private final Kryo kryo = new Kryo();
    private final Output output = new Output(INITIAL_BUFFER_BYTES, MAX_BYTES);

    /** A codec for one thread. */
    public Codec() {
      kryo.setRegistrationRequired(true);
      kryo.register(PeerStatus.class, new StatusSerializer(), REGISTRATION);
    }

    /** The status as it is sent. */
    public byte[] write(PeerStatus peerStatus) {
      output.reset();
      kryo.writeObject(output, peerStatus);
      return output.toBytes();
    }

    /**
     * The status that was sent so.
     *
     * @throws UnreadablePeerStatusException if these are not the bytes of one
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
      // Earlier versions read as far as here and leave the rest.
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
        throw new KryoException("no label");
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

    /** Earlier versions end before this. */
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
        throw new KryoException("size out of range: " + size);
      }
      return size;
    }
  }
}
