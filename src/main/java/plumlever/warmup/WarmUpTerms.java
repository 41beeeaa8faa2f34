package plumlever.warmup;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.slf4j.LoggerFactory;
import plumlever.Controller;
import plumlever.http.Caller;
import plumlever.http.Responder;
import plumlever.settings.Endpoint;
import plumlever.settings.OperatorSettings;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;
import plumlever.wire.Priority;

/**
 * A controller played to itself: two terms of a small deployment in memory, with the service's own
 * code and a clock turned by hand. What it is for is that this code has run when it is needed: code
 * that never ran is interpreted, some twenty times slower, and on little processor the first minute
 * of a term would be lost to that.
 */
final class WarmUpTerms {
  private static final int MACHINES = 40;
  private static final int JOBS = 16;
  private static final long LIFE_MICROS = 40_000_000;
  private static final long HEARTBEAT_MICROS = 1_000_000;
  private static final long WAY_MICROS = 5_000;
  private static final Endpoint STATE = new Endpoint("state", 1);
  private static final Endpoint CLOUD = new Endpoint("cloud", 1);

  private final WarmUpLoop loop;
  private final WarmUpServices outside;
  private final PlatformConfiguration platform;
  private final SchedulerParameters parameters;
  private Controller node;
  private long lifeEndsMicros;
  private int lives;
  private int submitted;

  WarmUpTerms(PlatformConfiguration real, SchedulerParameters parameters, long wallMicros) {
    this.loop = new WarmUpLoop(wallMicros);
    this.outside = new WarmUpServices(loop, MACHINES, "practice-%d:9");
    this.parameters = parameters;
    this.platform =
        new PlatformConfiguration(
            "practice",
            real.zone(),
            real.bind(),
            real.peerBind(),
            List.of(),
            CLOUD,
            STATE,
            List.of(new PlatformConfiguration.Team("practice", 0, 0, 0, 0)),
            real.objectives(),
            real.workers(),
            real.stateLimits(),
            real.cloudLimits(),
            real.socketLimit());
  }

  /** A little of it; false when all has been played. */
  boolean step() {
    if (node == null) {
      if (lives == 2) {
        return false;
      }
      live();
    }
    if (!loop.step(lifeEndsMicros)) {
      // Its machines and jobs are there for the next life to take over.
      node.close();
      node = null;
    }
    return true;
  }

  private void live() {
    int life = ++lives;
    lifeEndsMicros = loop.nowMicros() + LIFE_MICROS;
    node =
        new Controller(
            loop,
            caller(life),
            loop,
            caller(life),
            platform,
            new OperatorSettings(parameters, Optional.empty()),
            life,
            c -> LoggerFactory.getLogger("practice." + c.getSimpleName()));
    node.start();
    long apart = HEARTBEAT_MICROS / MACHINES;
    int count = 0;
    for (String text : outside.machines()) {
      loop.after(count++ * apart, () -> heartbeat(life, text));
    }
    for (int i = 0; i < JOBS; i++) {
      loop.after(500_000 + i * 1_500_000L, () -> submit(life));
    }
    loop.after(
        LIFE_MICROS / 2,
        () -> ask(life, "POST", "/submissions/job-" + (submitted - 1) + "/abort", null));
  }

  /** Calls of a life that is over come to nothing, as those of a process that has ended. */
  private Caller caller(int life) {
    return (to, method, path, body, timeout, answer) ->
        loop.after(
            WAY_MICROS,
            () -> {
              if (life != lives || node == null) {
                return;
              }
              if (path.equals("/orders")) {
                String machineId = outside.machineAt(to.toString());
                outside.command(machineId, new String(body, StandardCharsets.UTF_8));
                answer.take(200, outside.heartbeat(machineId));
              } else {
                outside.handle(
                    method,
                    path,
                    body,
                    (status, text) ->
                        loop.after(
                            WAY_MICROS,
                            () -> {
                              if (life == lives) {
                                answer.take(status, text.getBytes(StandardCharsets.UTF_8));
                              }
                            }));
              }
            });
  }

  private void heartbeat(int life, String machineId) {
    if (life != lives || node == null) {
      return;
    }
    node.router()
        .handle(
            "POST",
            "/hello",
            outside.heartbeat(machineId),
            (status, json, retry) -> {
              if (status == 200) {
                outside.command(machineId, json);
              }
            });
    loop.after(HEARTBEAT_MICROS, () -> heartbeat(life, machineId));
  }

  private void submit(int life) {
    Priority priority = Priority.values()[submitted % Priority.values().length];
    JobSpec job =
        new JobSpec(
            "job-" + ++submitted,
            "c" + submitted % 3,
            "practice",
            priority,
            24,
            1 + submitted % 2,
            0,
            2,
            "img-" + submitted % 5,
            1.5,
            null,
            null,
            submitted % 7 == 0,
            submitted % 8 == 0,
            true,
            4,
            submitted % 2 * 2,
            1,
            submitted % 2 == 0 ? 60 : JobSpec.NO_DEADLINE);
    ask(life, "POST", "/submissions", Json.write(job.toJson()).getBytes(StandardCharsets.UTF_8));
    poll(life, job.uid());
  }

  private void poll(int life, String uid) {
    if (life == lives && node != null) {
      ask(life, "GET", "/submissions/" + uid, null);
      loop.after(2_000_000, () -> poll(life, uid));
    }
  }

  private void ask(int life, String method, String path, byte[] body) {
    if (life == lives && node != null) {
      node.router().handle(method, path, body, NOBODY);
    }
  }

  /** What users would be told. */
  private static final Responder NOBODY = (status, json, retry) -> {};
}
