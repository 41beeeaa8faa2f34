package plumlever.leader.heartbeat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import plumlever.cloud.PriceBook;
import plumlever.concurrent.Loop;
import plumlever.fleet.Attempt;
import plumlever.fleet.Estimates;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.http.Caller;
import plumlever.leader.context.Context;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.failover.Failover;
import plumlever.leader.job.ActiveJobs;
import plumlever.leader.job.StartedJobIndex;
import plumlever.leader.progress.ProgressWriter;
import plumlever.leader.record.RecoveryRead;
import plumlever.metrics.Logs;
import plumlever.metrics.Metrics;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.wire.AttemptState;
import plumlever.wire.ExitCause;
import plumlever.wire.Heartbeat;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;
import plumlever.wire.Priority;
import plumlever.wire.TaskName;

/**
 * A leader's heartbeat handler with one machine and one job of two tasks, which an earlier leader
 * may have started. Requests to other services get no answer.
 */
final class HeartbeatFixture {
  static final long TERM = 7;
  static final String JOB = "job-000001";

  private static final Endpoint NOWHERE = new Endpoint("nowhere", 1);
  private static final PlatformConfiguration.StateLimits LIMITS =
      new PlatformConfiguration.StateLimits(100, 40, 4096, 8);
  private static final PlatformConfiguration PLATFORM =
      new PlatformConfiguration(
          "n0",
          "z0",
          NOWHERE,
          NOWHERE,
          List.of(),
          NOWHERE,
          NOWHERE,
          List.of(new PlatformConfiguration.Team("blue", 0, 0, 0, 0)),
          List.of(),
          new PlatformConfiguration.Workers(3_000_000, 26_000_000, 30_000_000),
          LIMITS,
          new PlatformConfiguration.CloudLimits(6, 5_000_000),
          1000);

  private static final class ManualLoop implements Loop {
    private long nowMicros = 1_000_000_000L;

    @Override
    public long nowMicros() {
      return nowMicros;
    }

    @Override
    public long wallMicros() {
      return nowMicros;
    }

    @Override
    public Timer after(long delayMicros, Runnable action) {
      return () -> {};
    }

    @Override
    public void execute(Runnable action) {}
  }

  final Fleet fleet = new Fleet(TERM);
  final Machine machine;
  final Job job;
  final HeartbeatHandler handler;
  private final ManualLoop loop = new ManualLoop();
  private long sequenceNumber;

  HeartbeatFixture() {
    Context context = context();
    StartedJobIndex startedJobs = new StartedJobIndex(context, () -> {});
    ActiveJobs jobs = new ActiveJobs(context, startedJobs, () -> {});
    RecoveryRead records = new RecoveryRead(context);
    records.read(jobs::load);
    job = jobs.get(JOB);
    machine = new Machine("i-1", "i-1:9", "small", "a", false, loop.nowMicros());
    fleet.add(machine);
    handler =
        new HeartbeatHandler(
            context,
            fleet,
            jobs,
            new Estimates(),
            new Failover(context, fleet, () -> MachineSharing.NONE),
            new ProgressWriter(context, jobs),
            () -> MachineSharing.NONE);
  }

  private Context context() {
    Metrics metrics = new Metrics(Logs.SERVICE);
    Caller silent = (to, method, path, body, timeoutMicros, answer) -> {};
    StateClient store = new StateClient(loop, silent, NOWHERE, LIMITS, metrics);
    return new Context(
        loop,
        PLATFORM,
        SchedulerParameters.defaults(),
        null,
        null,
        store,
        new JobStore(store.limits()),
        null,
        new PriceBook(SchedulerParameters.defaults()),
        silent,
        metrics,
        () -> 0,
        (prefix, then) -> then.accept(listing(prefix)),
        () -> 0,
        Logs.SERVICE,
        false,
        Optional.empty());
  }

  private static StateClient.Listing listing(String prefix) {
    return new StateClient.Listing(
        prefix.equals(JobStore.ACTIVE)
            ? List.of(new StateClient.Item(JobStore.ACTIVE + JOB, jobRecord(), 3, 0))
            : List.of(),
        5);
  }

  private static JsonNode jobRecord() {
    JobSpec spec =
        new JobSpec(
            JOB,
            "train",
            "blue",
            Priority.STANDARD,
            2,
            1,
            0,
            1,
            "img-1",
            1,
            null,
            null,
            false,
            false,
            true,
            60,
            0,
            0,
            JobSpec.NO_DEADLINE);
    return Json.object().put("at_ms", 0).set("job", spec.toJson());
  }

  /** The number of an attempt that a leader of an earlier term started. */
  static long attemptOfEarlierTerm() {
    HeartbeatFixture earlier = new HeartbeatFixture();
    return new Fleet(TERM - 1).start(earlier.job, 0, earlier.machine, false, 0).id();
  }

  /** A task that this leader starts, with the answer to the last heartbeat or directly. */
  Attempt start(int task, boolean direct) {
    if (direct) {
      machine.tokens().commandSent(loop.nowMicros());
    }
    return fleet.start(job, task, machine, direct, loop.nowMicros());
  }

  /** The machine has reported in this term, without tasks, and is accounted for. */
  HeartbeatFixture accounted() {
    handler.apply(machine, heartbeat(), true);
    handler.getAndClearChanged();
    return this;
  }

  /** The machine's next heartbeat, with the highest token that was given out. */
  Heartbeat heartbeat(Heartbeat.AttemptStatus... attempts) {
    return heartbeatWithToken(machine.tokens().current(), attempts);
  }

  /** The machine's next heartbeat. */
  Heartbeat heartbeatWithToken(long token, Heartbeat.AttemptStatus... attempts) {
    return heartbeat(1, token, List.of(attempts));
  }

  /** The first heartbeat after the machine's lease has expired. */
  Heartbeat heartbeatOfNextIncarnation() {
    return heartbeat(2, machine.tokens().current(), List.of());
  }

  private Heartbeat heartbeat(
      long incarnation, long token, List<Heartbeat.AttemptStatus> attempts) {
    sequenceNumber++;
    return new Heartbeat(
        machine.id(),
        machine.endpoint(),
        machine.machineType(),
        machine.zone(),
        machine.spot(),
        incarnation,
        sequenceNumber,
        token,
        Heartbeat.NO_NOTICE,
        attempts);
  }

  static Heartbeat.AttemptStatus running(int task, long attempt) {
    return new Heartbeat.AttemptStatus(
        new TaskName(JOB, task), attempt, AttemptState.RUNNING, null, false);
  }

  static Heartbeat.AttemptStatus completed(int task, long attempt) {
    return new Heartbeat.AttemptStatus(
        new TaskName(JOB, task), attempt, AttemptState.ENDED, ExitCause.DONE, false);
  }
}
