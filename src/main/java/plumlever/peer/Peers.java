package plumlever.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import plumlever.concurrent.Loop;
import plumlever.concurrent.RecurringTask;
import plumlever.http.Caller;
import plumlever.http.Responder;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.HttpStatus;

/** The links between controllers: each tells the others its status, over HTTP with Kryo bodies. */
public final class Peers {
  /** A status with the time it came in. */
  public record Heard(PeerStatus status, long atMicros) {}

  private static final String PATH = "/peer";
  private static final long EVERY_MICROS = 1_000_000;
  private static final long TIMEOUT_MICROS = 2_000_000;

  private final Loop loop;
  private final Caller caller;
  private final PlatformConfiguration platform;
  private final Supplier<PeerStatus> own;
  private final Consumer<PeerStatus> news;
  private final PeerStatus.Codec codec = new PeerStatus.Codec();
  private final Map<String, Heard> heard = new HashMap<>();

  /** Exchanges status with these controllers. */
  public Peers(
      Loop loop,
      Caller caller,
      PlatformConfiguration platform,
      Supplier<PeerStatus> own,
      Consumer<PeerStatus> news) {
    this.news = news;
    this.loop = loop;
    this.caller = caller;
    this.platform = platform;
    this.own = own;
  }

  public RecurringTask duty() {
    return new RecurringTask("peers", loop, this::tell);
  }

  private long tell() {
    byte[] body = codec.write(own.get());
    for (PlatformConfiguration.PeerController seed : platform.peers()) {
      caller.call(seed.endpoint(), "POST", PATH, body, TIMEOUT_MICROS, (status, data) -> {});
    }
    return EVERY_MICROS;
  }

  /** Takes a request on the peers' listener. */
  public void handle(String method, String path, byte[] body, Responder out) {
    if (!path.equals(PATH) || !method.equals("POST")) {
      out.error(HttpStatus.NOT_FOUND, "no such path");
      return;
    }
    PeerStatus peerStatus = codec.read(body);
    if (peerStatus == null
        || platform.peers().stream().noneMatch(p -> p.label().equals(peerStatus.label()))) {
      out.error(HttpStatus.BAD_REQUEST, "not a peer's status");
      return;
    }
    heard.put(peerStatus.label(), new Heard(peerStatus, loop.nowMicros()));
    news.accept(peerStatus);
    out.send(HttpStatus.OK, "{}");
  }

  /** Statuses not older than this. */
  public Iterable<PeerStatus> lately(long micros) {
    long from = loop.nowMicros() - micros;
    return heard.values().stream().filter(h -> h.atMicros >= from).map(Heard::status).toList();
  }
}
