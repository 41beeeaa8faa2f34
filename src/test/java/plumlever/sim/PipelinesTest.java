package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;
import plumlever.wire.Priority;

/** Jobs that wait for others, through all that may happen meanwhile. */
final class PipelinesTest extends DependencyScenario {
  @Test
  void stagesRunOneAfterTheOther() {
    List<JobSpec> list = pipeline();
    users.pipeline(list, false);
    cluster.play(10);
    assertEquals("pending", told(list.get(4)));
    cluster.play(120);
    assertTold("done", list.toArray(new JobSpec[0]));
    List<JobSpec> late = pipeline();
    users.pipeline(late, true);
    cluster.play(120);
    assertTold("done", late.toArray(new JobSpec[0]));
  }

  /** While it waits a job takes nothing of its team's limit, nor does it make machines stand by. */
  @Test
  void aWaitingJobHoldsNothing() {
    JobSpec first = job(2, 60, JobSpec.NO_DEADLINE, Priority.IDLE, List.of());
    JobSpec large =
        new JobSpec(
                users.nextUid(),
                "c1",
                "red",
                Priority.PROD,
                48,
                1,
                0,
                2,
                "img",
                1,
                null,
                null,
                false,
                false,
                true,
                5,
                0,
                0,
                JobSpec.NO_DEADLINE)
            .withDependencies(List.of(first.uid()));
    submit(first, large);
    cluster.play(15);
    JobSpec other =
        new JobSpec(
            users.nextUid(),
            "c1",
            "red",
            Priority.IDLE,
            40,
            1,
            0,
            2,
            "img",
            1,
            null,
            null,
            false,
            false,
            true,
            5,
            0,
            0,
            JobSpec.NO_DEADLINE);
    users.submit(other, false);
    cluster.play(50);
    assertEquals("pending", told(large));
    assertTold("done", other);
    cluster.play(100);
    assertTold("done", large);
  }

  @Test
  void badInputIsToldAsWhatItIs() {
    JobSpec known = idle(1, 300);
    assertEquals(201, submitAt("n0", known).status());
    cluster.play(1);
    String like = Json.write(idle(1, 5).toJson());
    String uid = like.substring(like.indexOf("job-"), like.indexOf("job-") + 10);
    String head = like.substring(0, like.length() - 1);
    for (String bad :
        List.of(
            "\"job-1\"", "7", "{}", "[7]", "[null]", "[\"job-\"]", "[\"x\"]", "[[\"job-1\"]]")) {
      assertEquals(
          400,
          ask("n1", "POST", "/submissions", head + ",\"waits_on\":" + bad + "}").status(),
          bad);
    }
    assertEquals(
        422,
        ask("n1", "POST", "/submissions", head + ",\"waits_on\":[\"job-777\"]}").status(),
        "never accepted");
    assertEquals(
        422,
        ask("n1", "POST", "/submissions", head + ",\"waits_on\":[\"" + uid + "\"]}").status(),
        "itself");
    assertEquals(
        422,
        ask(
                "n1",
                "POST",
                "/submissions",
                head + ",\"waits_on\":[\"" + known.uid() + "\",\"job-777\"]}")
            .status(),
        "one of two");
    cluster.store.outage = true;
    Answer out = ask("n1", "POST", "/submissions", head + ",\"waits_on\":[\"job-777\"]}");
    assertEquals(503, out.status(), "what can't be read is not called unknown");
    assertTrue(out.retryAfterS() > 0);
    cluster.store.endOutage();
    cluster.play(3);
    assertEquals(404, ask("n2", "GET", "/submissions/" + uid, null).status());
    for (String none : List.of("null", "[]")) {
      assertEquals(
          none.equals("null") ? 201 : 200,
          ask("n1", "POST", "/submissions", head + ",\"waits_on\":" + none + "}").status());
    }
    assertEquals(
        200,
        ask("n2", "POST", "/submissions", head + ",\"waits_on\":[\"job-777\"]}").status(),
        "known, whatever it names");
    assertEquals(
        200,
        ask("n2", "POST", "/submissions", head + ",\"waits_on\":7}").status(),
        "known, whatever it names");
    JobSpec twice = idle(1, 1, known, known);
    assertEquals(201, submitAt("n2", twice).status(), "a name that is repeated counts once");
  }

  /**
   * Accepted at one controller, cancelled at another, asked at a third: from the moment one user is
   * told all say the same.
   */
  @Test
  void everyControllerSaysTheSameAtOnce() {
    JobSpec root = idle(1, 400);
    JobSpec middle = idle(1, 5, root);
    JobSpec other = idle(1, 5);
    JobSpec last = job(1, 5, 60, Priority.HIGH, List.of(middle.uid(), other.uid()));
    assertEquals(201, submitAt("n0", root).status());
    assertEquals(201, submitAt("n1", middle).status());
    assertEquals(201, submitAt("n0", other).status());
    assertEquals(201, submitAt("n2", last).status());
    for (String controller : cluster.controllers.keySet()) {
      assertTrue(
          ask(controller, "GET", "/submissions/" + last.uid(), null).body().contains("pending"));
    }
    assertTrue(
        ask("n1", "POST", "/submissions/" + root.uid() + "/abort", "").body().contains("aborted"));
    for (String controller : cluster.controllers.keySet()) {
      for (JobSpec otherJob : List.of(middle, last, root)) {
        Answer answer = ask(controller, "GET", "/submissions/" + otherJob.uid(), null);
        assertTrue(
            answer.status() == 200 && answer.body().contains("\"aborted\""),
            controller + " says " + answer.body());
        assertTrue(
            ask(controller, "POST", "/submissions", Json.write(otherJob.toJson()))
                .body()
                .contains("\"aborted\""));
      }
    }
    JobSpec after = idle(1, 5, middle);
    Answer accepted = submitAt("n0", after);
    assertEquals(201, accepted.status(), "accepted all the same");
    assertTrue(accepted.body().contains("\"aborted\""), accepted.body());
    cluster.play(30);
    assertEquals(
        0,
        cluster.store.entries("active/").keySet().stream()
            .filter(k -> !k.endsWith(other.uid()))
            .count(),
        "stored for all of them");
  }

  /** No leader is alive: the controllers left derive and store it all the same. */
  @Test
  void aCancellationReachesDependentsWithoutALeader() {
    JobSpec root = idle(1, 400);
    JobSpec last = idle(1, 5, root);
    submit(root, last);
    cluster.play(10);
    SimulatedController leader = cluster.leader();
    String other =
        cluster.controllers.keySet().stream()
            .filter(n -> !n.equals(leader.platform.label()))
            .findFirst()
            .orElseThrow();
    leader.crash(60);
    users.cancelled(root);
    assertTrue(
        ask(other, "POST", "/submissions/" + root.uid() + "/abort", "").body().contains("aborted"));
    assertTrue(
        ask(other, "GET", "/submissions/" + last.uid(), null).body().contains("\"aborted\""));
    assertTrue(
        cluster.controllers.values().stream().noneMatch(SimulatedController::leads),
        "nobody leads yet");
    cluster.play(60);
    assertEquals(List.of(), cluster.invariants.broken);
  }

  /** If the cancellation came too late, what comes after goes on. */
  @Test
  void aCancellationThatIsAnsweredDoneStopsNothing() {
    JobSpec root = idle(1, 3);
    JobSpec last = idle(1, 3, root);
    submit(root);
    cluster.play(40);
    assertTold("done", root);
    submit(last);
    assertTrue(
        ask("n2", "POST", "/submissions/" + root.uid() + "/abort", "").body().contains("\"done\""));
    cluster.play(40);
    assertTold("done", last);
  }

  /** The leader changes while some stages wait, and while one ends. */
  @ParameterizedTest
  @ValueSource(doubles = {0.2, 4})
  void aChainGoesOnAcrossAChangeOfLeader(double backAfterS) {
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      List<JobSpec> list = pipeline();
      all.addAll(list);
      users.pipeline(list, i % 2 == 0);
    }
    long term = cluster.store.term();
    for (int i = 0; i < 5; i++) {
      cluster.play(9);
      cluster.leader().crash(backAfterS);
      cluster.play(5);
    }
    cluster.play(150);
    assertTrue(cluster.store.term() - term >= 5, "leaders changed");
    assertTold("done", all.toArray(new JobSpec[0]));
  }

  /**
   * Right after the root's cancellation was confirmed the state service is out for longer than a
   * cancellation has.
   */
  @Test
  void anOutageRightAfterTheRootsCancellation() {
    JobSpec root = idle(4, 200);
    JobSpec next = idle(2, 5, root);
    JobSpec last = job(1, 5, 90, Priority.HIGH, List.of(next.uid()));
    submit(root, next, last);
    cluster.play(30);
    assertTrue(cluster.invariants.began(root.uid()));
    List<Integer> status = new ArrayList<>();
    users.cancelAt(
        new Endpoint("n0", 1),
        root.uid(),
        s -> {
          status.add(s);
          cluster.store.outage = true;
        });
    cluster.play(1);
    assertEquals(List.of(200), status);
    assertTrue(cluster.store.outage);
    cluster.at(InvariantChecker.CANCEL_MICROS + 12_000_000, cluster.store::endOutage);
    cluster.play(InvariantChecker.CANCEL_MICROS / 1e6 + 40);
    assertTold("aborted", root, next, last);
  }

  /** The transaction that ends a predecessor is carried out, and nobody is told. */
  @Test
  void anEndWithoutAnAnswerReleasesAllTheSame() {
    List<JobSpec> list = pipeline();
    cluster.store.answerLostOnce = "ended/" + list.get(0).uid();
    users.pipeline(list, false);
    cluster.play(120);
    assertEquals(1, cluster.store.appliedUnanswered);
    assertTold("done", list.toArray(new JobSpec[0]));
  }

  /**
   * Cancellations meet the very end of predecessors: one transaction decides, and all that follows
   * agrees with it.
   */
  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33})
  void cancellationsAtTheEndOfPredecessors(long seed) {
    deployment(seed, new PlatformConfiguration.StateLimits(200, 25, 4096, 8));
    users.closeLooks = true;
    users.meetEnds(0.9);
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      List<JobSpec> list = pipeline();
      all.addAll(list);
      cluster.at(i * 5_000_000L, () -> users.pipeline(list, false));
    }
    cluster.play(240);
    assertEquals(List.of(), cluster.invariants.broken);
    Map<String, Long> ends =
        all.stream().collect(Collectors.groupingBy(this::told, Collectors.counting()));
    assertEquals(
        all.size(), ends.getOrDefault("done", 0L) + ends.getOrDefault("aborted", 0L), "" + ends);
    assertTrue(
        ends.getOrDefault("aborted", 0L) > 3 && ends.getOrDefault("done", 0L) > 3, "" + ends);
  }

  /**
   * A submission and the cancel of the job that it names, at two controllers within milliseconds.
   */
  @Test
  void aSubmissionRacesWithTheCancellationOfItsDependency() {
    List<JobSpec> after = new ArrayList<>();
    users.closeLooks = true;
    for (int i = 0; i < 25; i++) {
      JobSpec root = idle(1, 300);
      users.submit(root, false);
      cluster.play(1);
      JobSpec next = idle(1, 5, root);
      after.add(next);
      cluster.at(cluster.random.nextInt(20_000), () -> users.cancel(root.uid()));
      cluster.at(cluster.random.nextInt(20_000), () -> users.submit(next, false));
      cluster.play(1);
    }
    cluster.play(20);
    assertTold("aborted", after.toArray(new JobSpec[0]));
  }

  /**
   * A list as long as a body holds, against small values, small transactions and few preconditions;
   * a small one beside it.
   */
  @Test
  void anyLegalListIsTaken() {
    deployment(6, new PlatformConfiguration.StateLimits(200, 25, 2048, 4, 4096));
    cluster.store.valueBytes = 2048;
    cluster.store.transactionOps = 4;
    List<JobSpec> roots = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      JobSpec otherJob = job(1, 2, JobSpec.NO_DEADLINE, Priority.STANDARD, List.of());
      roots.add(otherJob);
      users.submit(otherJob, false);
      cluster.play(0.3);
    }
    cluster.play(60);
    // Most have ended, some not; the list names each, and as many more as the body takes.
    JobSpec running = idle(1, 60);
    users.submit(running, false);
    cluster.play(10);
    Map<String, com.fasterxml.jackson.databind.JsonNode> more =
        new TreeMap<>(cluster.store.entries("ended/"));
    List<String> names = new ArrayList<>(roots.stream().map(JobSpec::uid).toList());
    for (int i = 0; i < 4_800; i++) {
      names.add("job-5" + (10_000 + i));
      more.put("ended/job-5" + (10_000 + i), Json.object().put("s", "done"));
    }
    cluster.store.rewrite("ended/", more);
    names.add(running.uid());
    JobSpec last = job(1, 3, JobSpec.NO_DEADLINE, Priority.HIGH, names);
    String body = Json.write(last.toJson());
    assertTrue(body.length() > 60_000 && body.length() <= 65_536, "" + body.length());
    names.forEach(
        n ->
            cluster.invariants.submitted.computeIfAbsent(
                n,
                k ->
                    new JobSpec(
                        k,
                        "c",
                        "blue",
                        Priority.IDLE,
                        1,
                        1,
                        0,
                        1,
                        "i",
                        1,
                        null,
                        null,
                        false,
                        false,
                        true,
                        1,
                        0,
                        0,
                        JobSpec.NO_DEADLINE)));
    names.stream()
        .filter(n -> n.startsWith("job-5"))
        .forEach(n -> cluster.invariants.complete(n + "/0"));
    Answer answer = null;
    for (int tries = 0; tries < 12 && (answer == null || answer.status() == 503); tries++) {
      answer = submitAt("n" + tries % 3, last);
      cluster.play(1);
    }
    assertEquals(201, answer.status(), answer.body());
    assertEquals(0, cluster.store.malformed, "nothing too large was written");
    assertTrue(ask("n2", "GET", "/submissions/" + last.uid(), null).body().contains("pending"));
    cluster.leader().crash(1);
    cluster.play(15);
    assertFalse(cluster.invariants.began(last.uid()), "one that it names still runs");
    cluster.play(120);
    assertTrue(ask("n1", "GET", "/submissions/" + last.uid(), null).body().contains("\"done\""));
    assertEquals(List.of(), cluster.invariants.broken);
  }

  /** Watches that have fallen too far behind read the dependency chains anew. */
  @Test
  void recordsThatAreTooOldAreReadAnew() {
    cluster.store.remembered = 3;
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      List<JobSpec> list = pipeline();
      all.addAll(list);
      users.pipeline(list, false);
    }
    cluster.play(200);
    assertTold("done", all.toArray(new JobSpec[0]));
  }

  /** A long chain, asked about at every controller: what a question costs does not grow with it. */
  @Test
  void questionsAboutALongChainAreFew() {
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      JobSpec job = i == 0 ? idle(1, 900) : idle(1, 5, all.get(i - 1));
      all.add(job);
      assertEquals(201, submitAt("n0", job).status());
    }
    JobSpec last = all.get(299);
    assertEquals(200, ask("n1", "GET", "/submissions/" + last.uid(), null).status());
    cluster.store.requestsSeen = 0;
    for (int i = 0; i < 10; i++) {
      assertTrue(ask("n1", "GET", "/submissions/" + last.uid(), null).body().contains("pending"));
    }
    assertTrue(
        cluster.store.requestsSeen < 60,
        "for ten questions, all else included: " + cluster.store.requestsSeen);
    assertTrue(
        ask("n2", "POST", "/submissions/" + all.get(0).uid() + "/abort", "")
            .body()
            .contains("aborted"));
    assertTrue(ask("n1", "GET", "/submissions/" + last.uid(), null).body().contains("\"aborted\""));
    cluster.play(120);
    assertEquals(0, cluster.store.count("active/"), "the leader has stored the rest");
    assertEquals(List.of(), cluster.invariants.broken);
  }

  static LongStream seeds() {
    long first = Long.getLong("plumlever.first", 1);
    return LongStream.range(first, first + Integer.getInteger("plumlever.seeds", 8));
  }

  /**
   * Pipelines among other work, a tenth of them cancelled, through all troubles; every second day
   * with close looks.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void troubledDayWithPipelines(long seed) {
    deployment(4_000 + seed, new PlatformConfiguration.StateLimits(200, 25, 2048, 4, 4096));
    cluster.store.valueBytes = seed % 2 == 0 ? 2048 : 4096;
    cluster.store.transactionOps = seed % 2 == 0 ? 4 : 8;
    users.closeLooks = seed % 2 == 0;
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 14; i++) {
      List<JobSpec> list = pipeline();
      all.addAll(list);
      boolean late = i % 4 == 0;
      cluster.at(i * 15_000_000L, () -> users.pipeline(list, late));
      if (i % 5 == 0) {
        JobSpec off = list.get(cluster.random.nextInt(list.size()));
        cluster.at(
            i * 15_000_000L + 3_000_000 + cluster.random.nextLong(25_000_000),
            () -> users.cancelOnceAccepted(off.uid()));
      }
      cluster.at(
          i * 15_000_000L,
          () ->
              users.submit(
                  1 + cluster.random.nextInt(8),
                  1,
                  3 + cluster.random.nextInt(20),
                  cluster.random.nextInt(5) == 0));
    }
    cluster.network.lostAnswerShare = 0.01;
    cluster.network.repeatedShare = 0.02;
    cluster.network.copiedHeartbeatShare = 0.02;
    cluster.store.lateWrites = 0.02;
    cluster.store.unansweredWrites = 0.02;
    for (int i = 0; i < 12; i++) {
      cluster.at(
          20_000_000L + cluster.random.nextLong(200_000_000L),
          () -> SimulationTest.trouble(cluster));
    }
    cluster.at(
        120_000_000,
        () -> {
          cluster.store.valueBytes = 2048;
          cluster.store.transactionOps = 4;
        });
    cluster.play(240);
    cluster.store.lateWrites = 0;
    cluster.store.unansweredWrites = 0;
    SimulationTest.calm(cluster);
    cluster.play(300);
    cluster.invariants.checkServed();
    assertEquals(List.of(), cluster.invariants.broken);
    assertEquals(0, cluster.store.malformed, "nothing too large was written");
    for (JobSpec job : all) {
      assertTrue(List.of("done", "aborted").contains(told(job)), job.uid() + " " + told(job));
    }
    assertNotEquals(0, all.stream().filter(j -> told(j).equals("done")).count());
  }

  /** The check can fail: records that lose what a job waits on let it start too early. */
  @Test
  void withoutTheRecordJobsStartTooEarly() {
    cluster.store.lostField = "waits_on";
    users.pipeline(pipeline(), false);
    cluster.play(80);
    assertTrue(
        cluster.invariants.broken.stream().anyMatch(b -> b.startsWith("too_early")),
        "the checks must see it");
  }

  /**
   * The check can fail: controllers that are not told of ends go on calling a job pending after its
   * root was cancelled.
   */
  @Test
  void withoutTheChangesJobsAreOrphaned() {
    JobSpec root = idle(1, 400);
    JobSpec last = idle(1, 5, root);
    submit(root, last);
    cluster.play(10);
    cluster
        .controllers
        .keySet()
        .forEach(
            n ->
                assertTrue(
                    ask(n, "GET", "/submissions/" + last.uid(), null).body().contains("pending")));
    cluster.store.untold = "ended/";
    List<Integer> status = new ArrayList<>();
    SimulatedController leader = cluster.leader();
    leader.stall(60);
    List<String> others =
        cluster.controllers.keySet().stream()
            .filter(n -> !n.equals(leader.platform.label()))
            .toList();
    users.cancelAt(new Endpoint(others.get(0), 1), root.uid(), status::add);
    cluster.play(0.1);
    assertEquals(List.of(200), status);
    long asked = cluster.now();
    Answer answer = ask(others.get(1), "GET", "/submissions/" + last.uid(), null);
    cluster.invariants.toldAnywhere(
        last.uid(), answer.body().contains("pending") ? "pending" : "aborted", asked);
    assertTrue(
        cluster.invariants.broken.stream().anyMatch(b -> b.startsWith("orphaned")),
        "the checks must see it: " + told(last));
  }

  /** The deadline of the last job reaches the first, also at a new leader. */
  @Test
  void aDeadlineReachesBackAtANewLeader() {
    JobSpec first = idle(1, 300);
    JobSpec last = job(1, 10, 400, Priority.HIGH, List.of(first.uid()));
    submit(first, last);
    cluster.play(10);
    for (int i = 0; i < 2; i++) {
      plumlever.fleet.Job otherJob = cluster.leader().controller().leader().job(first.uid());
      cluster.play(1);
      assertEquals(Priority.HIGH, otherJob.priority());
      long remainingMicros = otherJob.deadlineMicros() - otherJob.acceptedMicros();
      assertTrue(
          remainingMicros > 370_000_000L && remainingMicros < 390_000_000L,
          "400 s less what the last takes: " + remainingMicros);
      cluster.leader().crash(1);
      cluster.play(15);
    }
    assertEquals(200, ask("n0", "POST", "/submissions/" + last.uid() + "/abort", "").status());
    cluster.play(2);
    assertEquals(
        Priority.IDLE,
        cluster.leader().controller().leader().job(first.uid()).priority(),
        "undone with the job that had it");
    assertEquals(List.of(), cluster.invariants.broken);
  }

  /** What was accepted before names of it were known may be named by any number. */
  @Test
  void aThousandMayWaitOnOne() {
    JobSpec root = idle(1, 30);
    assertEquals(201, submitAt("n0", root).status());
    List<JobSpec> all = IntStream.range(0, 120).mapToObj(i -> idle(1, 1, root)).toList();
    all.forEach(j -> users.submit(j, false));
    cluster.play(150);
    assertTold("done", all.toArray(new JobSpec[0]));
  }
}
