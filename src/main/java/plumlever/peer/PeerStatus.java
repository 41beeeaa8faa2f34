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

/**
 * What a controller tells the others of itself. It is advice only: no rule rests on it.
 *
 * @param storeRefusedMicros how long the state service has refused it; 0 while it is served
 * @param lateMicros how late its deciding thread was lately
 * @param workers how many workers reported to it in the last seconds
 * @param counts finished and running tasks by job, from the leader, for display
 * @param calledOff jobs whose users were lately told through this controller that they are
 *     cancelled: who leads stops their tasks even if the state service refuses to tell it
 */
public record PeerStatus(
    String label,
    long term,
    boolean leading,
    long storeRefusedMicros,
    long lateMicros,
    int workers,
    Map<String, int[]> counts,
    List<String> confirmedCancellations) {

  /** Kryo's form of it; written out, so that nothing is looked up by reflection at start. */
  public static final class Codec {
    private static final int MOST_BYTES = 256 * 1024;
    private static final int MOST_COUNTS = 5_000;
    private static final int MOST_CONFIRMED_CANCELLATIONS = 500;
    private final Kryo kryo = new Kryo();
    private final Output output = new Output(4 * 1024, MOST_BYTES);

    public Codec() {
      kryo.setRegistrationRequired(true);
      kryo.register(PeerStatus.class, new Form(), 100);
    }

    /** The status as it is sent. */
    public byte[] write(PeerStatus peerStatus) {
      output.reset();
      kryo.writeObject(output, peerStatus);
      return output.toBytes();
    }

    /** Null when it can't be read. */
    public PeerStatus read(byte[] bytes) {
      try {
        return kryo.readObject(new Input(bytes), PeerStatus.class);
      } catch (KryoException
          | IllegalArgumentException
          | IndexOutOfBoundsException
          | NegativeArraySizeException e) {
        return null;
      }
    }
  }

  private static final class Form extends Serializer<PeerStatus> {
    @Override
    public void write(Kryo kryo, Output out, PeerStatus peerStatus) {
      out.writeString(peerStatus.label);
      out.writeVarLong(peerStatus.term, true);
      out.writeBoolean(peerStatus.leading);
      out.writeVarLong(peerStatus.storeRefusedMicros, true);
      out.writeVarLong(peerStatus.lateMicros, true);
      out.writeVarInt(peerStatus.workers, true);
      out.writeVarInt(Math.min(peerStatus.counts.size(), Codec.MOST_COUNTS), true);
      int count = 0;
      for (Map.Entry<String, int[]> entry : peerStatus.counts.entrySet()) {
        if (count++ >= Codec.MOST_COUNTS) {
          break;
        }
        out.writeString(entry.getKey());
        out.writeVarInt(entry.getValue()[0], true);
        out.writeVarInt(entry.getValue()[1], true);
      }
      // Earlier versions read as far as here and leave the rest.
      int size =
          Math.min(peerStatus.confirmedCancellations.size(), Codec.MOST_CONFIRMED_CANCELLATIONS);
      out.writeVarInt(size, true);
      peerStatus.confirmedCancellations.stream().limit(size).forEach(out::writeString);
    }

    @Override
    public PeerStatus read(Kryo kryo, Input in, Class<? extends PeerStatus> type) {
      String label = in.readString();
      long term = in.readVarLong(true);
      boolean leading = in.readBoolean();
      long silent = in.readVarLong(true);
      long late = in.readVarLong(true);
      int workers = in.readVarInt(true);
      int count = in.readVarInt(true);
      if (count < 0 || count > Codec.MOST_COUNTS || label == null) {
        throw new KryoException("out of range");
      }
      Map<String, int[]> counts = new LinkedHashMap<>();
      for (int i = 0; i < count; i++) {
        counts.put(in.readString(), new int[] {in.readVarInt(true), in.readVarInt(true)});
      }
      List<String> confirmedCancellations = new ArrayList<>();
      if (in.position() < in.limit()) {
        int size = in.readVarInt(true);
        if (size < 0 || size > Codec.MOST_CONFIRMED_CANCELLATIONS) {
          throw new KryoException("out of range");
        }
        for (int i = 0; i < size; i++) {
          confirmedCancellations.add(in.readString());
        }
      }
      return new PeerStatus(
          label, term, leading, silent, late, workers, counts, confirmedCancellations);
    }
  }
}
