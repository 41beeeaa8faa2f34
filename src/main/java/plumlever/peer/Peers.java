package plumlever.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import plumlever.concurrent.EventLoop;
import plumlever.concurrent.RecurringTask;
import plumlever.http.HttpClient;
import plumlever.http.Responder;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.HttpStatus;

/**
 * Exchanges status messages with the other controllers. Each controller sends its status to all
 * others at a fixed interval, over HTTP with Kryo bodies.
 */
public final class Peers {
  private static final String PATH = "/peer";
  private static final long SEND_INTERVAL_MICROS = 1_000_000;
  private static final long TIMEOUT_MICROS = 2_000_000;

  private record ReceivedStatus(PeerStatus status, long receivedMicros) {}

  /**
   * A report in the response to a status.
   *
   * @param requestSentMicros time at which the status was sent; the report was made after it
   */
  public record ReceivedSettlement(SettlementReport report, long requestSentMicros) {
    private long leastReadMicros() {
      return requestSentMicros - report.endedJobsReadAgeMicros();
    }
  }

  private final EventLoop loop;
  private final HttpClient httpClient;
  private final PlatformConfiguration platform;
  private final Supplier<PeerStatus> ownStatus;
  private final Supplier<Optional<SettlementReport>> ownSettlement;
  private final Consumer<PeerStatus> listener;
  private final PeerStatus.Codec codec = new PeerStatus.Codec();
  private final Map<String, ReceivedStatus> receivedByLabel = new HashMap<>();
  private Optional<ReceivedSettlement> latestSettlement = Optional.empty();

  /**
   * Prepares the exchange of status messages with the other controllers of the deployment.
   *
   * @param ownStatus provides the status that is sent
   * @param ownSettlement provides the report for the response to a status; empty while this
   *     controller does not lead
   * @param listener receives each status that another controller sends
   */
  public Peers(
      EventLoop loop,
      HttpClient httpClient,
      PlatformConfiguration platform,
      Supplier<PeerStatus> ownStatus,
      Supplier<Optional<SettlementReport>> ownSettlement,
      Consumer<PeerStatus> listener) {
    this.loop = loop;
    this.httpClient = httpClient;
    this.platform = platform;
    this.ownStatus = ownStatus;
    this.ownSettlement = ownSettlement;
    this.listener = listener;
  }

  /**
   * Returns the task that sends this controller's status to the other controllers at a fixed
   * interval.
   */
  public RecurringTask recurringTask() {
    return new RecurringTask("peer status", loop, this::sendStatus);
  }

  private long sendStatus() {
    byte[] body = codec.write(ownStatus.get());
    for (PlatformConfiguration.PeerController peer : platform.peers()) {
      long sentMicros = loop.nowMicros();
      httpClient.call(
          peer.endpoint(),
          "POST",
          PATH,
          body,
          TIMEOUT_MICROS,
          (status, data) -> handleResponse(status, data, sentMicros));
    }
    return SEND_INTERVAL_MICROS;
  }

  private void handleResponse(int status, byte[] body, long requestSentMicros) {
    if (status != HttpStatus.OK) {
      return;
    }
    SettlementReport.read(body)
        .map(report -> new ReceivedSettlement(report, requestSentMicros))
        .filter(
            received ->
                latestSettlement.isEmpty()
                    || received.leastReadMicros() >= latestSettlement.get().leastReadMicros())
        .ifPresent(received -> latestSettlement = Optional.of(received));
  }

  /** Returns the latest report of a leader in another process. */
  public Optional<ReceivedSettlement> latestSettlement() {
    return latestSettlement;
  }

  /**
   * Handles an HTTP request that arrived at the address on which this controller listens for other
   * controllers.
   */
  public void handle(String method, String path, byte[] body, Responder out) {
    if (!path.equals(PATH) || !method.equals("POST")) {
      out.error(HttpStatus.NOT_FOUND, "no such path");
      return;
    }
    Optional<PeerStatus> status = read(body).filter(this::isOfPeer);
    if (status.isEmpty()) {
      out.error(HttpStatus.BAD_REQUEST, "not a peer's status");
      return;
    }
    receivedByLabel.put(status.get().label(), new ReceivedStatus(status.get(), loop.nowMicros()));
    listener.accept(status.get());
    out.send(HttpStatus.OK, SettlementReport.write(ownSettlement.get()));
  }

  private Optional<PeerStatus> read(byte[] body) {
    try {
      return Optional.of(codec.read(body));
    } catch (UnreadablePeerStatusException e) {
      return Optional.empty();
    }
  }

  private boolean isOfPeer(PeerStatus status) {
    return platform.peers().stream().anyMatch(peer -> peer.label().equals(status.label()));
  }

  /**
   * Returns the last status of each other controller that sent a status within the last {@code
   * micros} microseconds.
   */
  public List<PeerStatus> receivedWithin(long micros) {
    long oldestMicros = loop.nowMicros() - micros;
    return receivedByLabel.values().stream()
        .filter(received -> received.receivedMicros() >= oldestMicros)
        .map(ReceivedStatus::status)
        .toList();
  }
}
