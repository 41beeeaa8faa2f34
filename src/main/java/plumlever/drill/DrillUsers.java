package plumlever.drill;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import plumlever.concurrent.EventLoop;
import plumlever.http.HttpClient;
import plumlever.settings.Endpoint;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;

/**
 * Emulates the users of a drill. A user submits each job to one controller until the controller
 * accepts the job, then polls random controllers until the job is done.
 */
final class DrillUsers {
  private static final long RETRY_MICROS = 1_000_000;
  private static final long POLL_MICROS = 2_000_000;
  private static final long SUBMIT_TIMEOUT_MICROS = 5_000_000;
  private static final long POLL_TIMEOUT_MICROS = 2_000_000;

  /** The state of a job as known to its user. */
  private enum ReportedState {
    SUBMITTED,
    ACCEPTED,
    DONE
  }

  private final EventLoop loop;
  private final HttpClient httpClient;
  private final List<Endpoint> controllers;
  private final TaskResults results;
  private final SplittableRandom random;
  private final Map<String, ReportedState> jobs = new LinkedHashMap<>();
  private int tasks;

  DrillUsers(
      EventLoop loop,
      HttpClient httpClient,
      List<Endpoint> controllers,
      TaskResults results,
      SplittableRandom random) {
    this.loop = loop;
    this.httpClient = httpClient;
    this.controllers = controllers;
    this.results = results;
    this.random = random;
  }

  /** Submits a job of the given shape to the given controller. */
  void submit(JobShape shape, Endpoint controller) {
    String uid = String.format("job-%06d", jobs.size() + 1);
    jobs.put(uid, ReportedState.SUBMITTED);
    tasks += shape.tasks();
    results.recordSubmission(uid, shape.runMicros());
    submit(uid, shape.toSubmission(uid), controller);
  }

  private Endpoint randomController() {
    return controllers.get(random.nextInt(controllers.size()));
  }

  private void submit(String uid, String body, Endpoint controller) {
    httpClient.call(
        controller,
        "POST",
        "/submissions",
        body.getBytes(StandardCharsets.UTF_8),
        SUBMIT_TIMEOUT_MICROS,
        (status, response) -> {
          if (status == HttpStatus.CREATED || status == HttpStatus.OK) {
            jobs.put(uid, ReportedState.ACCEPTED);
            loop.after(POLL_MICROS, () -> poll(uid));
          } else if (status == HttpStatus.BAD_REQUEST || status == HttpStatus.UNPROCESSABLE) {
            results.reportViolation(
                uid + " was rejected: " + new String(response, StandardCharsets.UTF_8));
          } else {
            loop.after(RETRY_MICROS, () -> submit(uid, body, controller));
          }
        });
  }

  private void poll(String uid) {
    httpClient.call(
        randomController(),
        "GET",
        "/submissions/" + uid,
        null,
        POLL_TIMEOUT_MICROS,
        (status, response) -> {
          if (status == HttpStatus.NOT_FOUND) {
            results.reportViolation(uid + " was accepted but a controller does not know the job");
          }
          if (status == HttpStatus.OK && statusOf(response).equals("done")) {
            jobs.put(uid, ReportedState.DONE);
          } else {
            loop.after(POLL_MICROS, () -> poll(uid));
          }
        });
  }

  private static String statusOf(byte[] response) {
    try {
      return Json.parseObject(response).path("status").asText();
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

  /** Returns the jobs that no controller has reported as done to the user. */
  List<String> unfinishedJobs() {
    List<String> unfinished = new ArrayList<>();
    jobs.forEach(
        (uid, state) -> {
          if (state != ReportedState.DONE) {
            unfinished.add(uid);
          }
        });
    return unfinished;
  }
}
