package plumlever.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import plumlever.cloud.PriceBook;
import plumlever.concurrent.Loop;
import plumlever.metrics.Metrics;
import plumlever.settings.PlatformConfiguration;
import plumlever.store.DependencyLists;
import plumlever.store.JobRecordCache;
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.ForwardedRequest;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.JobSpec;
import plumlever.wire.JobState;
import plumlever.wire.Json;
import plumlever.wire.ProtocolField;
import plumlever.wire.ProtocolPath;

/**
 * Users' requests. Every answer but a final state rests on a read of the state service begun after
 * the request came in, so any controller can give it; what can't be found out now is refused at
 * once, with the time to come back.
 */
public final class UserApi {
  /** Told of what users changed through this controller, and asked for counts to display. */
  public interface LeaderView {
    void jobCancelled(String uid);

    /** Finished and running tasks, or null if not known here. */
    int[] counts(String uid);

    /** True when the state service serves others but not this controller. */
    boolean isRefusedAlone();

    /** True when this controller may not answer for the jobs in the state service. */
    boolean ineligible();
  }

  private static final String JOBS = ProtocolPath.SUBMISSIONS;
  private static final int MOST_AT_ONCE = 256;
  private static final int RETRY_AFTER_S = 1;
  private static final long AGAIN_MICROS = 150_000;

  /** A state service that answered so lately only refuses what is over its rate. */
  private static final long RECENTLY_MICROS = 500_000;

  private static final int TRIES = 4;

  private final Loop loop;
  private final StateClient store;
  private final JobStore layout;
  private final PriceBook prices;
  private final Metrics metrics;
  private final LeaderView leaderView;
  private final Set<String> teams = new HashSet<>();
  private final List<PlatformConfiguration.Team> limits;
  private final JobRecordCache jobRecords;
  private final Optional<JobForwarder> otherCells;
  private final DependencyLists lists;
  private int open;

  /** Answers users from these records, and within these limits of teams. */
  public UserApi(
      Loop loop,
      StateClient store,
      JobRecordCache jobRecords,
      JobStore layout,
      PriceBook prices,
      PlatformConfiguration platform,
      Metrics metrics,
      LeaderView leaderView,
      Optional<JobForwarder> otherCells) {
    this.otherCells = otherCells;
    this.loop = loop;
    this.store = store;
    this.jobRecords = jobRecords;
    this.layout = layout;
    this.lists = new DependencyLists(loop, store, layout);
    this.prices = prices;
    this.metrics = metrics;
    this.leaderView = leaderView;
    this.limits = platform.teams();
    limits.forEach(t -> teams.add(t.name()));
  }

  /** A request that is being answered, as it came in. */
  private final class Admitted implements Responder {
    private final String kind;
    private final ForwardedRequest request;
    private final Responder out;
    private final long sinceMicros = loop.nowMicros();

    Admitted(String kind, ForwardedRequest request, Responder out) {
      this.kind = kind;
      this.request = request;
      this.out = out;
    }

    @Override
    public void send(int status, String json, int retryAfterS) {
      open--;
      metrics.recordDuration(kind, loop.nowMicros() - sinceMicros);
      if (status >= HttpStatus.SERVER_ERRORS || status == HttpStatus.TOO_MANY_REQUESTS) {
        metrics.count(kind + "_refused");
      }
      out.send(status, json, retryAfterS);
    }

    @Override
    public void closing() {
      out.closing();
    }

    @Override
    public boolean forwarded() {
      return out.forwarded();
    }
  }

  /** Counts a request while it is open; too many at once are turned away. */
  private Admitted admit(String kind, ForwardedRequest request, Responder out) {
    if (leaderView.ineligible()) {
      out.later(HttpStatus.UNAVAILABLE, "this controller lacks the sharing file", RETRY_AFTER_S);
      return null;
    }
    if (open >= MOST_AT_ONCE) {
      metrics.count("users_turned_away");
      out.later(HttpStatus.UNAVAILABLE, "too many requests", RETRY_AFTER_S);
      return null;
    }
    open++;
    return new Admitted(kind, request, out);
  }

  /**
   * A user's connection stays on its controller: one that alone can't answer must not keep its
   * users from those that can.
   */
  private void unavailable(Responder out) {
    if (leaderView.isRefusedAlone()) {
      metrics.count("users_sent_away");
      out.closing();
    }
    out.later(HttpStatus.UNAVAILABLE, "the state service can't be reached", RETRY_AFTER_S);
  }

  /** Answers a submission: accepted once it is stored, refused, or to be repeated later. */
  public void submit(byte[] body, Responder raw) {
    ObjectNode object;
    String uid;
    try {
      object = Json.parseObject(body);
      uid = Json.text(object, ProtocolField.JOB_ID);
      if (!JobSpec.validUid(uid)) {
        throw new InvalidMessageException("uid must be job- and digits");
      }
    } catch (InvalidMessageException e) {
      raw.error(HttpStatus.BAD_REQUEST, e.getMessage());
      return;
    }
    String text = new String(body, StandardCharsets.UTF_8);
    Admitted out = admit("submit", new ForwardedRequest("POST", JOBS, text), raw);
    if (out == null) {
      return;
    }
    JobSpec spec;
    try {
      spec = JobSpec.parse(object);
    } catch (InvalidMessageException e) {
      // A known job is told its state whatever is wrong with the repeat.
      ifUnknown(uid, out, () -> out.error(HttpStatus.BAD_REQUEST, e.getMessage()));
      return;
    }
    if (!teams.contains(spec.team())) {
      ifUnknown(
          uid, out, () -> out.error(HttpStatus.UNPROCESSABLE, ProtocolField.TEAM + " is unknown"));
      return;
    }
    if (overLimit(spec)) {
      ifUnknown(
          uid,
          out,
          () -> out.error(HttpStatus.UNPROCESSABLE, "a task needs more than its team's limit"));
      return;
    }
    if (!prices.isLoaded()) {
      ifUnknown(
          uid,
          out,
          () ->
              out.later(
                  HttpStatus.UNAVAILABLE, "the machine types are not known yet", RETRY_AFTER_S));
      return;
    }
    if (!prices.canRun(spec)) {
      ifUnknown(
          uid,
          out,
          () -> out.error(HttpStatus.UNPROCESSABLE, "a task fits no allowed machine type"));
      return;
    }
    JobStore.Acceptance acceptance = layout.accept(spec, loop.wallMicros());
    if (acceptance == null) {
      ifUnknown(uid, out, () -> out.error(HttpStatus.BAD_REQUEST, "the submission is too long"));
      return;
    }
    if (spec.hasDependencies()) {
      afterOthers(spec, acceptance, out);
    } else {
      accept(spec, acceptance.transaction(), out, TRIES);
    }
  }

  /**
   * Waits only for what was accepted. That a job was accepted stays true, so nothing need be
   * guarded for it; and whether one of them is cancelled meanwhile is found out after this one is
   * stored, from the records of all that it waits on.
   */
  private void afterOthers(JobSpec spec, JobStore.Acceptance acceptance, Admitted out) {
    if (spec.dependencies().contains(spec.uid())) {
      ifUnknown(
          spec.uid(),
          out,
          () ->
              out.error(
                  HttpStatus.UNPROCESSABLE, ProtocolField.DEPENDENCIES + " names the job itself"));
      return;
    }
    jobRecords.unknownOf(
        spec.dependencies(),
        unknown -> {
          if (unknown == null) {
            unavailable(out);
          } else if (!unknown.isEmpty()) {
            String name = unknown.iterator().next();
            ifUnknown(
                spec.uid(),
                out,
                () ->
                    ifNowhere(
                        name,
                        out,
                        () ->
                            out.error(
                                HttpStatus.UNPROCESSABLE,
                                ProtocolField.DEPENDENCIES
                                    + " names a job that was never accepted: "
                                    + name)));
          } else {
            storeList(spec, acceptance, out);
          }
        });
  }

  /** Stores the names that do not fit the job's record, then accepts it. */
  private void storeList(JobSpec spec, JobStore.Acceptance acceptance, Admitted out) {
    if (!acceptance.hasList()) {
      accept(spec, acceptance.transaction(), out, TRIES);
      return;
    }
    // Nothing is stored for the repeat of a known job, whose list may be another or removed.
    ifUnknown(
        spec.uid(),
        out,
        () ->
            lists.store(
                acceptance,
                anchorRevision -> {
                  if (anchorRevision.isPresent()) {
                    accept(spec, acceptance.anchoredAt(anchorRevision.getAsLong()), out, TRIES);
                  } else {
                    unavailable(out);
                  }
                }));
  }

  private boolean overLimit(JobSpec spec) {
    for (PlatformConfiguration.Team team : limits) {
      if (team.name().equals(spec.team())) {
        return (team.maxCores() > 0 && spec.cores() > team.maxCores())
            || (team.maxAccelerators() > 0 && spec.accelerators() > team.maxAccelerators());
      }
    }
    return false;
  }

  /**
   * Accepted means stored: 201 only once the transaction that creates the record has been carried
   * out.
   */
  private void accept(JobSpec spec, Transaction transaction, Admitted out, int tries) {
    String uid = spec.uid();
    store.transaction(
        transaction,
        StateClient.RequestPriority.ORDINARY,
        result -> {
          switch (result.outcome()) {
            case APPLIED -> {
              metrics.count("jobs_accepted");
              if (spec.hasDependencies()) {
                jobRecords.acceptedWaiting(
                    uid,
                    result.revision(),
                    spec.dependencies(),
                    look -> {
                      if (look.found()) {
                        out.send(HttpStatus.CREATED, describe(uid, look));
                      } else {
                        unavailable(out);
                      }
                    });
                return;
              }
              jobRecords.accepted(uid, result.revision());
              out.send(HttpStatus.CREATED, state(uid, JobState.PENDING, null));
            }
            // Without an answer it is not known either whether this request or an earlier one made
            // the record.
            case CONFLICT, UNKNOWN -> known(uid, out);
            case REFUSED -> {
              if (tries > 1 && recentlyServed()) {
                loop.after(AGAIN_MICROS, () -> accept(spec, transaction, out, tries - 1));
              } else {
                unavailable(out);
              }
            }
          }
        });
  }

  private boolean recentlyServed() {
    return loop.nowMicros() - store.lastServedMicros() < RECENTLY_MICROS;
  }

  /** The record decides; if it can't be read or is not there yet, the user asks again. */
  private void known(String uid, Admitted out) {
    jobRecords.look(
        uid,
        look -> {
          if (look.found()) {
            out.send(HttpStatus.OK, describe(uid, look));
          } else if (look.presence() == JobRecordCache.Presence.MISSING) {
            ifNowhere(uid, out, () -> unavailable(out));
          } else {
            unavailable(out);
          }
        });
  }

  /** Where another cell has the job, that cell answers the request. */
  private void ifNowhere(String uid, Admitted out, Runnable refuse) {
    if (otherCells.isEmpty() || out.forwarded()) {
      refuse.run();
      return;
    }
    JobForwarder forwarder = otherCells.get();
    forwarder.find(
        uid,
        location -> {
          switch (location.presence()) {
            case NOWHERE -> refuse.run();
            case UNAVAILABLE -> unavailable(out);
            case IN_CELL -> {
              metrics.count("users_forwarded");
              forwarder.forward(location.cell().orElseThrow(), out.request, out);
            }
          }
        });
  }

  private void ifUnknown(String uid, Admitted out, Runnable refuse) {
    jobRecords.look(
        uid,
        look -> {
          switch (look.presence()) {
            case ACTIVE, ENDED -> out.send(HttpStatus.OK, describe(uid, look));
            case MISSING -> ifNowhere(uid, out, refuse);
            case UNAVAILABLE -> unavailable(out);
          }
        });
  }

  private String describe(String uid, JobRecordCache.JobStatus look) {
    if (look.endState() != null) {
      return state(uid, look.endState(), null);
    }
    int[] counts = leaderView.counts(uid);
    return state(
        uid, counts != null && counts[1] > 0 ? JobState.RUNNING : JobState.PENDING, counts);
  }

  private static String state(String uid, JobState jobState, int[] counts) {
    ObjectNode object =
        Json.object().put(ProtocolField.JOB_ID, uid).put(ProtocolField.STATUS, jobState.wireName());
    if (counts != null) {
      object.put("done", counts[0]).put("running", counts[1]);
    }
    return Json.write(object);
  }

  /** Answers how a job stands. */
  public void poll(String uid, Responder raw) {
    Admitted out = admitKnown("poll", new ForwardedRequest("GET", JOBS + "/" + uid, ""), uid, raw);
    if (out != null) {
      ifUnknown(uid, out, () -> out.error(HttpStatus.NOT_FOUND, "no such job"));
    }
  }

  /**
   * Null when the answer has been given: no such id, an end that is known, or too many requests.
   */
  private Admitted admitKnown(String kind, ForwardedRequest request, String uid, Responder raw) {
    if (!JobSpec.validUid(uid)) {
      raw.error(HttpStatus.NOT_FOUND, "no such job");
      return null;
    }
    JobState how = jobRecords.known(uid);
    if (how != null) {
      raw.send(HttpStatus.OK, state(uid, how, null));
      return null;
    }
    return admit(kind, request, raw);
  }

  /** Cancels a job, unless it is done already. */
  public void cancel(String uid, Responder raw) {
    ForwardedRequest request =
        new ForwardedRequest("POST", JOBS + "/" + uid + ProtocolPath.CANCEL_SUFFIX, "");
    Admitted out = admitKnown("cancel", request, uid, raw);
    if (out != null) {
      cancel(uid, out, TRIES);
    }
  }

  private void cancel(String uid, Admitted out, int tries) {
    jobRecords.look(
        uid,
        look -> {
          switch (look.presence()) {
            case MISSING ->
                ifNowhere(uid, out, () -> out.error(HttpStatus.NOT_FOUND, "no such job"));
            case UNAVAILABLE -> unavailable(out);
            case ENDED -> {
              if (look.endState() == JobState.CANCELLED) {
                leaderView.jobCancelled(uid);
              }
              out.send(HttpStatus.OK, describe(uid, look));
            }
            case ACTIVE -> {
              if (tries == 0) {
                unavailable(out);
              } else {
                end(uid, look.revision(), out, tries);
              }
            }
          }
        });
  }

  private void end(String uid, long revision, Admitted out, int tries) {
    store.transaction(
        layout.end(uid, revision, JobState.CANCELLED, loop.wallMicros(), List.of()),
        StateClient.RequestPriority.URGENT,
        result -> {
          switch (result.outcome()) {
            case APPLIED -> {
              jobRecords.ended(uid, JobState.CANCELLED);
              metrics.count("jobs_cancelled");
              leaderView.jobCancelled(uid);
              out.send(HttpStatus.OK, state(uid, JobState.CANCELLED, null));
            }
            case REFUSED -> unavailable(out);
            // The stored state decides, whatever became of this transaction.
            default -> cancel(uid, out, tries - 1);
          }
        });
  }
}
