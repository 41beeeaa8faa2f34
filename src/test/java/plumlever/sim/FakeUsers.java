package plumlever.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import plumlever.settings.Endpoint;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;
import plumlever.wire.Priority;
import plumlever.wire.ProtocolField;

/**
 * Emulates users: they submit jobs, poll the status of the jobs, cancel some of the jobs, and query
 * jobs that were never submitted.
 */
final class FakeUsers {
  private final SimulatedCluster cluster;
  private final Set<String> accepted = new HashSet<>();
  private final Set<String> cancelledJobs = new HashSet<>();
  private final Map<String, Endpoint> controllerByJob = new HashMap<>();
  private final Map<String, Long> unhealthySince = new HashMap<>();
  private int lastUidNumber;

  /**
   * True if users query every controller within milliseconds of each response that shows a new job
   * status; a third of these queries repeat the submission.
   */
  boolean queryAllControllersOnChange;

  /** Number of 200 responses to status queries that users sent to all controllers at once. */
  int answeredQueries;

  private final Map<String, JobSpec> specByUid = new HashMap<>();
  private final Set<String> queriedStates = new HashSet<>();

  FakeUsers(SimulatedCluster cluster) {
    this.cluster = cluster;
    cluster.at(1_000_000, this::queryUnsubmittedJob);
    cluster.at(500_000, this::probeHealth);
  }

  /** Connects the user of the job to the controller, which receives the user's next request. */
  void connect(String uid, String controller) {
    controllerByJob.put(uid, new Endpoint(controller, 1));
  }

  Set<String> accepted() {
    return accepted;
  }

  private Endpoint anyController() {
    List<String> all = new ArrayList<>(cluster.controllers.keySet());
    return new Endpoint(all.get(cluster.random.nextInt(all.size())), 1);
  }

  /**
   * Returns the controller that the job's user is connected to. A connection stays with its
   * controller, whatever its responses are, until the controller closes the connection, a request
   * goes unanswered, or the load balancer has found the controller unhealthy for five seconds.
   */
  private Endpoint controllerOf(String uid) {
    Endpoint connection = controllerByJob.get(uid);
    if (connection == null || unhealthy(connection.host())) {
      List<String> healthy = new ArrayList<>(cluster.controllers.keySet());
      healthy.removeIf(this::unhealthy);
      connection =
          healthy.isEmpty()
              ? anyController()
              : new Endpoint(healthy.get(cluster.random.nextInt(healthy.size())), 1);
      controllerByJob.put(uid, connection);
    }
    return connection;
  }

  private boolean unhealthy(String controller) {
    return cluster.now() - unhealthySince.getOrDefault(controller, Long.MAX_VALUE / 2) > 5_000_000;
  }

  private void probeHealth() {
    for (String controller : cluster.controllers.keySet()) {
      cluster.network.send(
          "balancer",
          new Endpoint(controller, 1),
          "GET",
          "/up",
          null,
          1_000_000,
          response -> {
            if (response.status() == 200) {
              unhealthySince.remove(controller);
            } else {
              unhealthySince.putIfAbsent(controller, cluster.now());
            }
          });
    }
    cluster.at(1_000_000, this::probeHealth);
  }

  private void dropClosedConnection(String uid, SimulatedNetwork.Response response) {
    if (response.status() == 0 || response.connectionCloses()) {
      controllerByJob.remove(uid);
    }
  }

  private void queryUnsubmittedJob() {
    cluster.network.send(
        "user",
        anyController(),
        "GET",
        "/submissions/job-99" + lastUidNumber,
        null,
        2_000_000,
        response -> {
          if (response.status() == 200) {
            cluster.invariants.violations.add(
                "invented: a controller answered 200 for a job never submitted: job-99"
                    + lastUidNumber);
          }
          cluster.at(7_000_000, this::queryUnsubmittedJob);
        });
  }

  /** Submits a job with random priority, zone and spot settings. */
  JobSpec submit(int taskCount, double cores, double expectedRunS, boolean cancel) {
    boolean oneZone = cluster.random.nextInt(4) == 0;
    boolean spread = !oneZone && cluster.random.nextInt(4) == 0;
    JobSpec job =
        TestJob.job(nextUid())
            .jobClass("c" + lastUidNumber % 3)
            .team(lastUidNumber % 2 == 0 ? "red" : "blue")
            .priority(Priority.values()[cluster.random.nextInt(4)])
            .tasks(taskCount)
            .cores(cores)
            .memoryGb(2)
            .image("img-" + lastUidNumber % 4)
            .zone(cluster.random.nextInt(6) == 0 ? "a" : null)
            .oneZone(oneZone)
            .spread(spread)
            .spotAllowed(cluster.random.nextInt(3) > 0)
            .runS(expectedRunS)
            .deadlineS(cluster.random.nextBoolean() ? 60 : JobSpec.NO_DEADLINE)
            .build();
    submit(job, cancel);
    return job;
  }

  void submit(JobSpec job, boolean cancel) {
    cluster.invariants.submitted.put(job.uid(), job);
    cluster.invariants.submittedAt.put(job.uid(), cluster.now());
    trySubmit(job, cancel);
  }

  String nextUid() {
    return String.format("job-%06d", ++lastUidNumber);
  }

  private void trySubmit(JobSpec job, boolean cancel) {
    specByUid.put(job.uid(), job);
    long sentMicros = cluster.now();
    cluster.network.send(
        "user",
        controllerOf(job.uid()),
        "POST",
        "/submissions",
        Json.write(job.toJson()),
        5_000_000,
        response -> {
          dropClosedConnection(job.uid(), response);
          int status = response.status();
          if (status == 201 || status == 200) {
            accepted.add(job.uid());
            handleStatus(job.uid(), response.body(), sentMicros);
            poll(job.uid());
            if (cancel) {
              cluster.at(5_000_000 + cluster.random.nextLong(30_000_000), () -> cancel(job.uid()));
            }
          } else if (status == 400 || status == 422) {
            cluster.invariants.violations.add(
                "refused: a valid submission was refused: " + job.uid() + " " + response.body());
          } else {
            cluster.at(1_000_000, () -> trySubmit(job, cancel));
          }
        });
  }

  /**
   * Cancels up to {@code count} jobs that have started and are not complete, within 200 ms. Up to
   * {@code machines} of the machines with tasks of these jobs hang for {@code hangS} seconds.
   *
   * @return the ids of the cancelled jobs
   */
  List<String> cancelStartedJobs(int count, double hangS, int machines) {
    List<String> out = new ArrayList<>();
    for (String uid : accepted) {
      if (out.size() < count
          && !cancelledJobs.contains(uid)
          && cluster.invariants.hasStarted(uid)
          && !cluster.invariants.allDone(uid)) {
        out.add(uid);
      }
    }
    if (hangS > 0) {
      cluster.cloud.machines.values().stream()
          .filter(
              vm ->
                  vm.worker != null
                      && vm.worker.tasks.values().stream()
                          .anyMatch(t -> out.contains(t.name.substring(0, t.name.indexOf('/')))))
          .limit(machines)
          .toList()
          .forEach(
              vm -> {
                vm.worker.hung = true;
                cluster.at((long) (hangS * 1e6), () -> vm.worker.hung = false);
              });
    }
    out.forEach(uid -> cluster.at(cluster.random.nextLong(200_000), () -> cancel(uid)));
    return out;
  }

  /**
   * Makes users cancel the given share of jobs within 1.5 s after the job's last task has
   * completed. The users then query all controllers; some of the queries repeat the submission.
   */
  void cancelAndQueryAtCompletion(double share) {
    cluster.invariants.completionListener =
        uid -> {
          if (cluster.random.nextDouble() < share && specByUid.containsKey(uid)) {
            long offset = cluster.random.nextLong(1_500_000);
            cluster.at(offset, () -> cancel(uid));
            cluster.at(offset + cluster.random.nextLong(30_000), () -> queryAllControllers(uid));
          }
        };
  }

  /**
   * Sends requests that users send by mistake, and checks that each gets its only correct response:
   * cancellations of finished jobs, repeated submissions with changed fields, invalid submissions,
   * and requests about unknown jobs.
   *
   * @return the number of accepted jobs at the time of the call
   */
  int sendMistakenRequests() {
    int sent = 0;
    for (String uid : new ArrayList<>(accepted)) {
      String last = cluster.invariants.lastReportedStatus.get(uid);
      JobSpec job = specByUid.get(uid);
      if ("done".equals(last)) {
        expectResponse("POST", "/submissions/" + uid + "/abort", "", 200, "\"done\"");
      } else if (last != null) {
        expectResponse(
            "POST",
            "/submissions",
            Json.write(job.toJson().put(ProtocolField.TASK_COUNT, 0)),
            200,
            uid);
        expectResponse(
            "POST", "/submissions", Json.write(job.toJson().put("owner", "nobody")), 200, uid);
      }
      sent++;
    }
    JobSpec template = specByUid.values().iterator().next();
    expectResponse(
        "POST",
        "/submissions",
        Json.write(template.toJson().put("uid", "job-880001").put("cores", 99.0)),
        422,
        "");
    expectResponse(
        "POST",
        "/submissions",
        Json.write(template.toJson().put("uid", "job-880002").without("cores")),
        400,
        "");
    expectResponse("GET", "/submissions/job-880003", "", 404, "");
    expectResponse("POST", "/submissions/job-880003/abort", "", 404, "");
    return sent;
  }

  /**
   * Sends a request and records a violation unless the response has the expected status and text. A
   * missing response, 429 and 503 are also allowed, because the state service may be in an outage.
   */
  private void expectResponse(
      String method, String path, String body, int expectedStatus, String expectedText) {
    cluster.network.send(
        "odd",
        anyController(),
        method,
        path,
        body,
        5_000_000,
        response -> {
          int status = response.status();
          if (status != 0
              && status != 503
              && status != 429
              && (status != expectedStatus || !(response.body()).contains(expectedText))) {
            cluster.invariants.violations.add(
                "wrong response to "
                    + method
                    + " "
                    + path
                    + ": got "
                    + status
                    + " "
                    + response.body());
          }
        });
  }

  private void queryAllControllers(String uid) {
    for (String controller : cluster.controllers.keySet()) {
      for (int i = 0; i < 2; i++) {
        cluster.at(
            1_000L + cluster.random.nextLong(20_000),
            () -> {
              long sentMicros = cluster.now();
              boolean repeat = cluster.random.nextInt(3) == 0;
              cluster.network.send(
                  "close",
                  new Endpoint(controller, 1),
                  repeat ? "POST" : "GET",
                  repeat ? "/submissions" : "/submissions/" + uid,
                  repeat ? Json.write(specByUid.get(uid).toJson()) : null,
                  2_000_000,
                  response -> {
                    if (response.status() == 200) {
                      answeredQueries++;
                      checkResponse(uid, response.body(), sentMicros);
                    } else if (response.status() == 404) {
                      cluster.invariants.checkResponse(uid, null, sentMicros);
                    } else if (response.status() == 400
                        || response.status() == 422
                        || response.status() == 201) {
                      cluster.invariants.violations.add(
                          "repeated submission of " + uid + " got status " + response.status());
                    }
                  });
            });
      }
    }
  }

  private void checkResponse(String uid, String body, long sentMicros) {
    try {
      cluster.invariants.checkResponse(
          uid, Json.parseObject(body).path("status").asText(), sentMicros);
    } catch (InvalidMessageException e) {
      cluster.invariants.violations.add("invalid status response: " + body);
    }
  }

  void cancel(String uid) {
    cancelledJobs.add(uid);
    long sentMicros = cluster.now();
    cluster.network.send(
        "user",
        controllerOf(uid),
        "POST",
        "/submissions/" + uid + "/abort",
        "",
        5_000_000,
        response -> {
          dropClosedConnection(uid, response);
          if (response.status() == 200) {
            handleStatus(uid, response.body(), sentMicros);
          } else {
            if (response.status() == 404) {
              cluster.invariants.violations.add("forgotten: cancellation got 404 for " + uid);
            }
            cluster.at(1_000_000, () -> cancel(uid));
          }
        });
  }

  /** Cancels the job as soon as its submission has been accepted. */
  void cancelOnceAccepted(String uid) {
    if (accepted.contains(uid)) {
      cancel(uid);
    } else {
      cluster.at(20_000, () -> cancelOnceAccepted(uid));
    }
  }

  /** Records that the test has cancelled the job without a request of an emulated user. */
  void recordCancellation(JobSpec job) {
    cancelledJobs.add(job.uid());
  }

  /** Sends one cancellation without retries; {@code status} receives the response's status code. */
  void cancelAt(Endpoint controller, String uid, java.util.function.Consumer<Integer> status) {
    cancelledJobs.add(uid);
    long sentMicros = cluster.now();
    cluster.network.send(
        "user",
        controller,
        "POST",
        "/submissions/" + uid + "/abort",
        "",
        5_000_000,
        response -> {
          if (response.status() == 200) {
            handleStatus(uid, response.body(), sentMicros);
          }
          status.accept(response.status());
        });
  }

  private void poll(String uid) {
    long sentMicros = cluster.now();
    cluster.network.send(
        "user",
        controllerOf(uid),
        "GET",
        "/submissions/" + uid,
        null,
        2_000_000,
        response -> {
          dropClosedConnection(uid, response);
          if (response.status() == 200) {
            handleStatus(uid, response.body(), sentMicros);
          } else if (response.status() == 404) {
            cluster.invariants.violations.add("forgotten: status query got 404 for " + uid);
          }
          cluster.at(5_000_000, () -> poll(uid));
        });
  }

  /** True if a user cancelled the job or one of its direct or transitive dependencies. */
  private boolean cancelRequested(String uid) {
    Set<String> seen = new HashSet<>(Set.of(uid));
    java.util.ArrayDeque<String> open = new java.util.ArrayDeque<>(seen);
    while (!open.isEmpty()) {
      String next = open.poll();
      if (cancelledJobs.contains(next)) {
        return true;
      }
      JobSpec job = cluster.invariants.submitted.get(next);
      (job == null ? List.<String>of() : job.dependencies())
          .stream().filter(seen::add).forEach(open::add);
    }
    return false;
  }

  /**
   * Submits the jobs of a pipeline, each as soon as its dependencies have been accepted.
   *
   * @param lastLate true if the last job is submitted only after its dependencies are done or
   *     cancelled
   */
  void submitPipeline(List<JobSpec> stages, boolean lastLate) {
    for (int i = 0; i < stages.size(); i++) {
      JobSpec job = stages.get(i);
      cluster.invariants.submitted.put(job.uid(), job);
      boolean late = lastLate && i == stages.size() - 1;
      submitWhen(
          job,
          () ->
              job.dependencies().stream()
                  .allMatch(
                      n ->
                          accepted.contains(n)
                              && (!late
                                  || List.of("done", "aborted")
                                      .contains(
                                          cluster.invariants.lastReportedStatus.getOrDefault(
                                              n, "")))));
    }
  }

  private void submitWhen(JobSpec job, java.util.function.BooleanSupplier ready) {
    if (ready.getAsBoolean()) {
      submit(job, false);
    } else {
      cluster.at(50_000, () -> submitWhen(job, ready));
    }
  }

  private void handleStatus(String uid, String body, long sentMicros) {
    checkResponse(uid, body, sentMicros);
    if (queryAllControllersOnChange
        && queriedStates.add(
            uid + body.contains("\"status\":\"done\"") + body.contains("\"aborted\""))) {
      queryAllControllers(uid);
    }
    try {
      cluster.invariants.recordResponse(uid);
      cluster.invariants.recordStatus(
          uid, Json.parseObject(body).path("status").asText(), cancelRequested(uid));
    } catch (InvalidMessageException e) {
      cluster.invariants.violations.add("invalid status response: " + body);
    }
  }
}
