package plumlever.leader.heartbeat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.HeartbeatSource;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.fleet.RunTimeEstimates;
import plumlever.fleet.StartChannel;
import plumlever.leader.context.ContextFixture;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.job.ActiveJobs;
import plumlever.leader.job.StartedJobIndex;
import plumlever.leader.progress.ProgressWriter;
import plumlever.leader.record.RecoveryRead;
import plumlever.sim.TestJob;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;
import plumlever.wire.AttemptState;
import plumlever.wire.ExitCause;
import plumlever.wire.Heartbeat;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;
import plumlever.wire.TaskName;

/**
 * Sets up a leader's heartbeat handler with one machine and one job of two tasks. An earlier leader
 * may have started tasks of the job. Requests to other services are not answered.
 */
final class HeartbeatFixture {
  static final long TERM = 7;
  static final String JOB = "job-000001";
  static final long LEASE_MICROS = ContextFixture.LEASE_MICROS;

  final Fleet fleet = new Fleet(TERM);
  final Machine machine;
  final Job job;
  final HeartbeatHandler handler;
  final LeaseExpiry leaseExpiry;
  private final ContextFixture contextFixture = new ContextFixture(HeartbeatFixture::list);
  private long sequenceNumber;

  HeartbeatFixture() {
    TermContext context = contextFixture.context();
    StartedJobIndex startedJobs = new StartedJobIndex(context, () -> {});
    ActiveJobs jobs = new ActiveJobs(context, startedJobs, () -> {});
    RecoveryRead records = new RecoveryRead(context);
    records.read(jobs::load);
    job = jobs.get(JOB);
    machine = new Machine("i-1", "i-1:9", "small", "a", false, contextFixture.nowMicros());
    fleet.add(machine);
    Failover failover = new Failover(context, fleet, () -> MachineSharing.NONE);
    handler =
        new HeartbeatHandler(
            context,
            fleet,
            jobs,
            new RunTimeEstimates(),
            failover,
            new ProgressWriter(context, jobs),
            () -> MachineSharing.NONE);
    leaseExpiry =
        new LeaseExpiry(
            context,
            handler,
            new RenewalDelegation(context, fleet),
            failover,
            MachineSharing.NONE,
            () -> {});
  }

  long nowMicros() {
    return contextFixture.nowMicros();
  }

  void advance(long micros) {
    contextFixture.advance(micros);
  }

  private static void list(String prefix, Consumer<Optional<StateClient.Listing>> onRead) {
    onRead.accept(Optional.of(listing(prefix)));
  }

  private static StateClient.Listing listing(String prefix) {
    return new StateClient.Listing(
        prefix.equals(RecordLayout.ACTIVE)
            ? List.of(new StateClient.Item(RecordLayout.ACTIVE + JOB, jobRecord(), 3, 0))
            : List.of(),
        5);
  }

  private static JsonNode jobRecord() {
    JobSpec spec = TestJob.job(JOB).jobClass("train").tasks(2).image("img-1").runS(60).build();
    return Json.object().put("at_ms", 0).set("job", spec.toJson());
  }

  /** Returns the number of an attempt that the leader of the previous term started. */
  static long attemptOfEarlierTerm() {
    HeartbeatFixture earlier = new HeartbeatFixture();
    return new Fleet(TERM - 1)
        .startAttempt(earlier.job, 0, earlier.machine, StartChannel.HEARTBEAT_RESPONSE, 0)
        .id();
  }

  /**
   * Starts a task in the response to the last heartbeat or by a direct command (one sent in a call
   * to the worker).
   */
  Attempt start(int task, StartChannel channel) {
    if (channel == StartChannel.DIRECT_COMMAND) {
      machine.tokens().recordDirectCommand(contextFixture.nowMicros());
    }
    return fleet.startAttempt(job, task, machine, channel, contextFixture.nowMicros());
  }

  /**
   * Applies a heartbeat that lists no tasks, so that the leader knows all attempts that earlier
   * leaders may have started on the machine.
   */
  HeartbeatFixture accounted() {
    handler.apply(machine, heartbeat(), HeartbeatSource.WORKER);
    handler.getAndClearPlacementChanged();
    return this;
  }

  /** Returns the machine's next heartbeat, with the highest fencing token issued for it. */
  Heartbeat heartbeat(Heartbeat.AttemptStatus... attempts) {
    return heartbeatWithToken(machine.tokens().current(), attempts);
  }

  /** Returns the machine's next heartbeat, with the given fencing token. */
  Heartbeat heartbeatWithToken(long token, Heartbeat.AttemptStatus... attempts) {
    return heartbeat(1, token, List.of(attempts));
  }

  /**
   * Returns a heartbeat that the worker sends after its lease has expired; its incarnation number
   * is higher by one.
   */
  Heartbeat heartbeatOfNextIncarnation(Heartbeat.AttemptStatus... attempts) {
    return heartbeat(2, machine.tokens().current(), List.of(attempts));
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
