package plumlever.warmup;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.slf4j.LoggerFactory;
import plumlever.Controller;
import plumlever.http.HttpClient;
import plumlever.http.Responder;
import plumlever.settings.Endpoint;
import plumlever.settings.OperatorSettings;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;
import plumlever.wire.HttpStatus;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;
import plumlever.wire.Priority;
import plumlever.wire.ProtocolPath;

/**
 * Simulates two terms of a leader of a small deployment in memory, with the real controller code
 * and a simulated clock. The JVM interprets code that has not been compiled yet, which is about
 * twenty times slower. With a small CPU share, a new leader would lose the first minute of its term
 * to this.
 */
final class WarmUpTerms {
  private static final int TERMS = 2;
  private static final int MACHINES = 40;
  private static final int JOBS = 16;
  private static final long TERM_MICROS = 40_000_000;
  private static final long HEARTBEAT_MICROS = 1_000_000;
  private static final long LATENCY_MICROS = 5_000;
  private static final long FIRST_JOB_MICROS = 500_000;
  private static final long SUBMIT_INTERVAL_MICROS = 1_500_000;
  private static final long POLL_INTERVAL_MICROS = 2_000_000;
  private static final Endpoint STATE = new Endpoint("state", 1);
  private static final Endpoint CLOUD = new Endpoint("cloud", 1);

  /** Prefix of the loggers of the simulated terms; only their warnings are shown. */
  private static final String LOGGER_PREFIX = "warmup.";

  private static final String TEAM = "warm-up";

  /** Discards the responses to users. */
  private static final Responder DISCARD_RESPONSE = (status, json, retry) -> {};

  private final WarmUpLoop loop;
  private final WarmUpServices services;
  private final PlatformConfiguration platform;
  private final SchedulerParameters parameters;
  private Controller controller;
  private long termEndsMicros;
  private int terms;
  private int submitted;

  WarmUpTerms(PlatformConfiguration real, SchedulerParameters parameters, long wallMicros) {
    this.loop = new WarmUpLoop(wallMicros);
    this.services = new WarmUpServices(loop, MACHINES, "warm-up-%d:9");
    this.parameters = parameters;
    this.platform =
        new PlatformConfiguration(
            "warm-up",
            real.zone(),
            real.bind(),
            real.peerBind(),
            List.of(),
            CLOUD,
            STATE,
            List.of(new PlatformConfiguration.Team(TEAM, 0, 0, 0, 0)),
            real.objectives(),
            real.workers(),
            real.stateLimits(),
            real.cloudLimits(),
            real.maxFileDescriptors());
  }

  /** Runs the next event of the simulation. Returns false once both simulated terms are over. */
  boolean runNextEvent() {
    if (controller == null) {
      if (terms == TERMS) {
        return false;
      }
      startTerm();
    }
    if (!loop.runNextEvent(termEndsMicros)) {
      // The machines and jobs of this term remain for the failover at the start of the next term.
      controller.close();
      controller = null;
    }
    return true;
  }

  private void startTerm() {
    int term = ++terms;
    termEndsMicros = loop.nowMicros() + TERM_MICROS;
    controller =
        new Controller(
            loop,
            httpClient(term),
            loop,
            httpClient(term),
            platform,
            new OperatorSettings(parameters, Optional.empty()),
            term,
            type -> LoggerFactory.getLogger(LOGGER_PREFIX + type.getSimpleName()));
    controller.start();
    long stagger = HEARTBEAT_MICROS / MACHINES;
    long delay = 0;
    for (String machineId : services.machines()) {
      loop.after(delay, () -> heartbeat(term, machineId));
      delay += stagger;
    }
    for (int job = 0; job < JOBS; job++) {
      loop.after(FIRST_JOB_MICROS + job * SUBMIT_INTERVAL_MICROS, () -> submit(term));
    }
    loop.after(TERM_MICROS / 2, () -> cancelJobBeforeLast(term));
  }

  private boolean hasEnded(int term) {
    return term != terms || controller == null;
  }

  /**
   * Returns an HTTP client that discards calls once the term is over, as if its process had ended.
   */
  private HttpClient httpClient(int term) {
    return (to, method, path, body, timeout, handler) ->
        loop.after(
            LATENCY_MICROS,
            () -> {
              if (hasEnded(term)) {
                return;
              }
              if (path.equals(ProtocolPath.COMMANDS)) {
                String machineId = services.machineAt(to.toString());
                services.executeCommands(machineId, new String(body, StandardCharsets.UTF_8));
                handler.handle(HttpStatus.OK, services.heartbeat(machineId));
              } else {
                services.handle(method, path, body, replyTo(term, handler));
              }
            });
  }

  private WarmUpServices.Reply replyTo(int term, HttpClient.ResponseHandler handler) {
    return (status, text) ->
        loop.after(
            LATENCY_MICROS,
            () -> {
              if (term == terms) {
                handler.handle(status, text.getBytes(StandardCharsets.UTF_8));
              }
            });
  }

  private void heartbeat(int term, String machineId) {
    if (hasEnded(term)) {
      return;
    }
    controller
        .router()
        .handle(
            "POST",
            ProtocolPath.HEARTBEAT,
            services.heartbeat(machineId),
            (status, json, retry) -> {
              if (status == HttpStatus.OK) {
                services.executeCommands(machineId, json);
              }
            });
    loop.after(HEARTBEAT_MICROS, () -> heartbeat(term, machineId));
  }

  private void submit(int term) {
    Priority priority = Priority.values()[submitted % Priority.values().length];
    submitted++;
    JobSpec job = WarmUpJobs.job(submitted, TEAM, priority);
    byte[] body = Json.write(job.toJson()).getBytes(StandardCharsets.UTF_8);
    request(term, "POST", ProtocolPath.SUBMISSIONS, body);
    poll(term, job.uid());
  }

  private void poll(int term, String uid) {
    if (!hasEnded(term)) {
      request(term, "GET", ProtocolPath.SUBMISSIONS + "/" + uid, null);
      loop.after(POLL_INTERVAL_MICROS, () -> poll(term, uid));
    }
  }

  private void cancelJobBeforeLast(int term) {
    String uid = WarmUpJobs.uid(submitted - 1);
    String path = ProtocolPath.SUBMISSIONS + "/" + uid + ProtocolPath.CANCEL_SUFFIX;
    request(term, "POST", path, null);
  }

  private void request(int term, String method, String path, byte[] body) {
    if (!hasEnded(term)) {
      controller.router().handle(method, path, body, DISCARD_RESPONSE);
    }
  }
}
