package plumlever.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import plumlever.concurrent.EventLoop;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SharingSettings;
import plumlever.store.KeySpace;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.ForwardedRequest;
import plumlever.wire.HttpStatus;

/**
 * Finds jobs in the other shards of a pool, and forwards requests to a controller of the job's
 * shard. A job is reported as absent only after one transaction, sent after the request arrived,
 * has checked the keys of all other shards.
 */
public final class JobForwarder {
  private static final long TIMEOUT_MICROS = 1_500_000;
  private static final long RETRY_PAUSE_MICROS = 150_000;
  private static final int MAX_ATTEMPTS = 4;
  private static final int RETRY_AFTER_S = 1;

  /** A key that may hold the job's record, and the shard that has the job if the key exists. */
  private record Candidate(SharingSettings.Shard shard, String key) {}

  private final EventLoop loop;
  private final StateClient store;
  private final HttpClient httpClient;
  private final PlatformConfiguration platform;
  private final SharingSettings sharing;

  /** Creates a forwarder for the other shards of this pool. */
  public JobForwarder(
      EventLoop loop,
      StateClient store,
      HttpClient httpClient,
      PlatformConfiguration platform,
      SharingSettings sharing) {
    this.loop = loop;
    this.store = store;
    this.httpClient = httpClient;
    this.platform = platform;
    this.sharing = sharing;
  }

  /** Searches the other shards for the job and passes the result to the handler. */
  void find(String uid, Consumer<JobLocation> handler) {
    find(candidates(uid), MAX_ATTEMPTS, handler);
  }

  /**
   * Returns the possible keys of the job in the other shards. The key of the active job comes
   * before the key of the ended job, because the end of a job moves its record from the first key
   * to the second.
   */
  private List<Candidate> candidates(String uid) {
    List<Candidate> candidates = new ArrayList<>();
    for (SharingSettings.Shard shard : sharing.otherShards()) {
      for (String key : List.of(RecordLayout.activeKey(uid), RecordLayout.endedKey(uid))) {
        candidates.add(new Candidate(shard, KeySpace.absolute(shard.prefix(), key)));
      }
    }
    return candidates;
  }

  private void find(List<Candidate> candidates, int attemptsLeft, Consumer<JobLocation> handler) {
    Transaction absent = new Transaction();
    candidates.forEach(candidate -> absent.require(candidate.key(), 0));
    store.transaction(
        absent,
        StateClient.RequestPriority.ORDINARY,
        result -> {
          switch (result.outcome()) {
            case APPLIED -> handler.accept(new JobLocation.NotFound());
            case CONFLICT -> readCandidates(candidates.iterator(), handler);
            default -> {
              if (result.status() == HttpStatus.TOO_MANY_REQUESTS && attemptsLeft > 1) {
                loop.after(RETRY_PAUSE_MICROS, () -> find(candidates, attemptsLeft - 1, handler));
              } else {
                handler.accept(new JobLocation.Unavailable());
              }
            }
          }
        });
  }

  /**
   * Reads the keys one after the other until one exists, and reports its shard. Separate reads are
   * safe here, because some shard is known to have the job and a job is never transferred to
   * another shard.
   */
  private void readCandidates(Iterator<Candidate> candidates, Consumer<JobLocation> handler) {
    if (!candidates.hasNext()) {
      handler.accept(new JobLocation.Unavailable());
      return;
    }
    Candidate candidate = candidates.next();
    store.get(
        candidate.key(),
        StateClient.RequestPriority.ORDINARY,
        read -> {
          if (read.found()) {
            handler.accept(new JobLocation.InShard(candidate.shard()));
          } else if (read.missing()) {
            readCandidates(candidates, handler);
          } else {
            handler.accept(new JobLocation.Unavailable());
          }
        });
  }

  /** Forwards the request to the first reachable controller of the shard. */
  void forward(SharingSettings.Shard shard, ForwardedRequest request, Responder out) {
    List<PlatformConfiguration.PeerController> members =
        platform.peers().stream()
            .filter(peer -> shard.controllers().contains(peer.label()))
            .toList();
    forward(members.iterator(), request.write(), out);
  }

  private void forward(
      Iterator<PlatformConfiguration.PeerController> members, byte[] body, Responder out) {
    if (!members.hasNext()) {
      out.retryLater(
          HttpStatus.SERVICE_UNAVAILABLE,
          "no controller of the job's cell can be reached",
          RETRY_AFTER_S);
      return;
    }
    httpClient.call(
        members.next().endpoint(),
        "POST",
        ForwardedRequest.PATH,
        body,
        TIMEOUT_MICROS,
        (status, responseBody) -> {
          if (status == 0 || status >= HttpStatus.MIN_SERVER_ERROR) {
            forward(members, body, out);
          } else {
            int retryAfterS = status == HttpStatus.TOO_MANY_REQUESTS ? RETRY_AFTER_S : 0;
            out.send(status, new String(responseBody, StandardCharsets.UTF_8), retryAfterS);
          }
        });
  }
}
