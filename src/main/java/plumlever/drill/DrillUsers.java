package plumlever.drill;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import plumlever.concurrent.Loop;
import plumlever.http.Caller;
import plumlever.settings.Endpoint;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;

/** Users who submit at one controller, repeat until accepted, and ask at any until it is done. */
final class DrillUsers {
  private static final long RETRY_MICROS = 1_000_000;
  private static final long POLL_MICROS = 2_000_000;
  private static final long SUBMIT_TIMEOUT_MICROS = 5_000_000;
  private static final long POLL_TIMEOUT_MICROS = 2_000_000;

  /** How a job stands, as its user was told. */
  private enum Told {
    SUBMITTED,
    ACCEPTED,
    DONE
  }

  private final Loop loop;
  private final Caller caller;
  private final List<Endpoint> controllers;
  private final TaskResults results;
  private final SplittableRandom random;
  private final Map<String, Told> jobs = new LinkedHashMap<>();
  private int tasks;

  DrillUsers(
      Loop loop,
      Caller caller,
      List<Endpoint> controllers,
      TaskResults results,
      SplittableRandom random) {
    this.loop = loop;
    this.caller = caller;
    this.controllers = controllers;
    this.results = results;
    this.random = random;
  }

  /** A job of that shape, first submitted at that controller. */
  void submit(JobShape shape, Endpoint at) {
    String uid = String.format("job-%06d", jobs.size() + 1);
    jobs.put(uid, Told.SUBMITTED);
    tasks += shape.tasks();
    results.submitted(uid, shape.runMicros());
    submit(uid, shape.text(uid), at);
  }

  private Endpoint any() {
    return controllers.get(random.nextInt(controllers.size()));
  }

  private void submit(String uid, String body, Endpoint at) {
    caller.call(
        at,
        "POST",
        "/submissions",
        body.getBytes(StandardCharsets.UTF_8),
        SUBMIT_TIMEOUT_MICROS,
        (status, answer) -> {
          if (status == HttpStatus.CREATED || status == HttpStatus.OK) {
            jobs.put(uid, Told.ACCEPTED);
            loop.after(POLL_MICROS, () -> poll(uid));
          } else if (status == HttpStatus.BAD_REQUEST || status == HttpStatus.UNPROCESSABLE) {
            results.broke(uid + " was refused: " + new String(answer, StandardCharsets.UTF_8));
          } else {
            loop.after(RETRY_MICROS, () -> submit(uid, body, at));
          }
        });
  }

  private void poll(String uid) {
    caller.call(
        any(),
        "GET",
        "/submissions/" + uid,
        null,
        POLL_TIMEOUT_MICROS,
        (status, answer) -> {
          if (status == HttpStatus.NOT_FOUND) {
            results.broke(uid + " was accepted and is unknown");
          }
          if (status == HttpStatus.OK && statusOf(answer).equals("done")) {
            jobs.put(uid, Told.DONE);
          } else {
            loop.after(POLL_MICROS, () -> poll(uid));
          }
        });
  }

  private static String statusOf(byte[] answer) {
    try {
      return Json.parseObject(answer).path("status").asText();
    } catch (InvalidMessageException e) {
      return "";
    }
  }

  int submittedJobs() {
    return jobs.size();
  }

  int submittedTasks() {
    return tasks;
  }

  /** Jobs whose users have not been told that they are done. */
  List<String> open() {
    List<String> open = new ArrayList<>();
    jobs.forEach(
        (uid, told) -> {
          if (told != Told.DONE) {
            open.add(uid);
          }
        });
    return open;
  }
}
