package plumlever.leader.pool;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import plumlever.fleet.ForeignLoad;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.lease.ForeignTaskEvidence;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SharingSettings;
import plumlever.sharing.ForeignTask;
import plumlever.sharing.PoolView;
import plumlever.sharing.TransferRecord;
import plumlever.wire.AttemptState;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.RelayedHeartbeat;
import plumlever.wire.WorkerCommand;

/**
 * Manages foreign tasks: tasks on this shard's machines that belong to jobs of other shards, their
 * originating shards. Only the originating shard decides about its tasks. This leader relays the
 * machine's heartbeats to the originating shard, and sends the commands from the originating
 * shard's response to the machine with the next heartbeat response. While the originating shard
 * does not respond, its tasks keep running and the worker keeps listing the ended attempts in its
 * heartbeats.
 */
final class ForeignTasks {
  /** Path at which a controller accepts relayed heartbeats. */
  static final String RELAY_PATH = "/relay";

  private static final long RELAY_TIMEOUT_MICROS = 2_000_000;
  private static final long MIN_RELAY_INTERVAL_MICROS = 900_000;

  /** The foreign tasks of one originating shard on one machine. */
  private static final class TasksOfShard {
    /**
     * The originating shard's attempts that may be on the machine, by attempt number. Includes
     * ended attempts that the worker still lists.
     */
    private final Map<Long, ForeignTask> tasks = new LinkedHashMap<>();

    private boolean callInFlight;
    private long lastRelayMicros = Long.MIN_VALUE / 4;
    private Heartbeat lastHeartbeat;
    private boolean leaseExpired;
    private boolean expiryRelayed;
  }

  /** All foreign tasks of one machine. */
  private static final class MachineForeignTasks {
    private final Machine machine;
    private final Map<String, TasksOfShard> byShard = new LinkedHashMap<>();
    private final Map<Long, WorkerCommand> commands = new HashMap<>();
    private final Set<Long> ended = new HashSet<>();

    MachineForeignTasks(Machine machine) {
      this.machine = machine;
    }
  }

  private final Logger log;
  private final TermContext context;
  private final SharingSettings sharing;
  private final PoolView view;
  private final Map<String, MachineForeignTasks> foreignTasksByMachine = new LinkedHashMap<>();
  private final Map<String, EndedJobsWatch> endedJobsByShard = new HashMap<>();
  private boolean closed;

  ForeignTasks(TermContext context, SharingSettings sharing, PoolView view) {
    this.context = context;
    this.log = context.loggerProvider().of(ForeignTasks.class);
    this.sharing = sharing;
    this.view = view;
  }

  /**
   * Updates the foreign tasks (tasks of other shards) of a machine that this shard owns from the
   * machine's transfer record. Shards that the record newly lists are added with their tasks;
   * shards that it lists no more are removed.
   */
  void update(Machine machine, TransferRecord record) {
    MachineForeignTasks machineForeignTasks =
        foreignTasksByMachine.computeIfAbsent(machine.id(), id -> new MachineForeignTasks(machine));
    record
        .tasksByShard()
        .forEach(
            (originatingShard, tasks) -> {
              if (!originatingShard.equals(sharing.ownShard().name())
                  && !machineForeignTasks.byShard.containsKey(originatingShard)) {
                TasksOfShard foreignTasks = new TasksOfShard();
                tasks.forEach(task -> foreignTasks.tasks.put(task.attempt(), task));
                machineForeignTasks.byShard.put(originatingShard, foreignTasks);
                tasks.forEach(task -> watch(originatingShard).watch(task.task().job()));
              }
            });
    machineForeignTasks.byShard.keySet().retainAll(record.tasksByShard().keySet());
    updateLoad(machineForeignTasks);
    if (machineForeignTasks.byShard.isEmpty()) {
      remove(machine);
    }
  }

  /**
   * Deletes from memory what is known of the machine's foreign tasks. Called when none of them is
   * left or another shard owns the machine.
   */
  void remove(Machine machine) {
    if (foreignTasksByMachine.remove(machine.id()) != null) {
      machine.load().setForeignTasks(ForeignLoad.NONE);
      dropUnneededWatches();
    }
  }

  private EndedJobsWatch watch(String originatingShard) {
    return endedJobsByShard.computeIfAbsent(
        originatingShard, name -> new EndedJobsWatch(context, sharing.shard(name).prefix()));
  }

  private void dropUnneededWatches() {
    endedJobsByShard.forEach(
        (originatingShard, watch) ->
            watch.keepOnly(
                foreignTasksByMachine.values().stream()
                    .filter(
                        machineForeignTasks ->
                            machineForeignTasks.byShard.containsKey(originatingShard))
                    .flatMap(
                        machineForeignTasks ->
                            machineForeignTasks
                                .byShard
                                .get(originatingShard)
                                .tasks
                                .values()
                                .stream())
                    .map(task -> task.task().job())
                    .collect(Collectors.toSet())));
  }

  boolean isForeign(Machine machine, long attempt) {
    MachineForeignTasks machineForeignTasks = foreignTasksByMachine.get(machine.id());
    return machineForeignTasks != null
        && machineForeignTasks.byShard.values().stream()
            .anyMatch(foreignTasks -> foreignTasks.tasks.containsKey(attempt));
  }

  /**
   * Updates the machine's foreign tasks from its heartbeat and relays the heartbeat to the
   * originating shards, whose jobs the tasks belong to.
   */
  void heartbeatApplied(Machine machine, Heartbeat heartbeat) {
    MachineForeignTasks machineForeignTasks = foreignTasksByMachine.get(machine.id());
    if (machineForeignTasks == null) {
      return;
    }
    Set<Long> listed = new HashSet<>();
    machineForeignTasks.ended.clear();
    for (Heartbeat.AttemptStatus reported : heartbeat.attempts()) {
      listed.add(reported.attempt());
      if (reported.state() == AttemptState.ENDED) {
        machineForeignTasks.ended.add(reported.attempt());
      }
    }
    if (machine.tokens().isOfSameTerm(heartbeat.fencingToken())) {
      // The machine has seen this term's fencing token, so it rejects commands of former owners:
      // an attempt that the heartbeat does not list can't appear later.
      machineForeignTasks
          .byShard
          .values()
          .forEach(foreignTasks -> foreignTasks.tasks.keySet().retainAll(listed));
    }
    machineForeignTasks.commands.keySet().retainAll(listed);
    updateLoad(machineForeignTasks);
    if (machine.tokens().isOfSameTerm(heartbeat.fencingToken())) {
      machineForeignTasks.byShard.forEach(
          (originatingShard, foreignTasks) ->
              relay(machineForeignTasks, originatingShard, foreignTasks, heartbeat, false));
    }
  }

  private static void updateLoad(MachineForeignTasks machineForeignTasks) {
    int count = 0;
    double cores = 0;
    double accelerators = 0;
    double memoryGb = 0;
    for (TasksOfShard foreignTasks : machineForeignTasks.byShard.values()) {
      for (ForeignTask task : foreignTasks.tasks.values()) {
        if (!foreignTasks.leaseExpired && !machineForeignTasks.ended.contains(task.attempt())) {
          count++;
          cores += task.cores();
          accelerators += task.accelerators();
          memoryGb += task.memoryGb();
        }
      }
    }
    machineForeignTasks
        .machine
        .load()
        .setForeignTasks(new ForeignLoad(count, cores, accelerators, memoryGb));
  }

  /**
   * Tells the shards whose tasks ran on the machine that the machine's lease has expired and that
   * its worker has therefore killed all tasks.
   */
  void leaseExpired(Machine machine) {
    MachineForeignTasks machineForeignTasks = foreignTasksByMachine.get(machine.id());
    if (machineForeignTasks == null) {
      return;
    }
    machineForeignTasks.byShard.forEach(
        (originatingShard, foreignTasks) -> {
          foreignTasks.leaseExpired = true;
          if (foreignTasks.lastHeartbeat != null && !foreignTasks.expiryRelayed) {
            relay(
                machineForeignTasks,
                originatingShard,
                foreignTasks,
                foreignTasks.lastHeartbeat,
                true);
          }
        });
    updateLoad(machineForeignTasks);
  }

  private void relay(
      MachineForeignTasks machineForeignTasks,
      String originatingShard,
      TasksOfShard foreignTasks,
      Heartbeat heartbeat,
      boolean leaseExpired) {
    long now = context.loop().nowMicros();
    foreignTasks.lastHeartbeat = heartbeat;
    foreignTasks.leaseExpired = leaseExpired;
    Optional<Endpoint> leader = leaderOf(originatingShard);
    if (closed
        || foreignTasks.callInFlight
        || leader.isEmpty()
        || now - foreignTasks.lastRelayMicros < MIN_RELAY_INTERVAL_MICROS
        || !context.term().mayAct()) {
      return;
    }
    foreignTasks.callInFlight = true;
    foreignTasks.lastRelayMicros = now;
    List<Heartbeat.AttemptStatus> attempts =
        heartbeat.attempts().stream()
            .filter(reported -> foreignTasks.tasks.containsKey(reported.attempt()))
            .toList();
    RelayedHeartbeat message =
        new RelayedHeartbeat(
            sharing.ownShard().name(),
            originatingShard,
            machineForeignTasks.machine.tokens().term(),
            leaseExpired,
            RelayedHeartbeat.withAttempts(heartbeat, leaseExpired ? List.of() : attempts));
    context
        .httpClient()
        .call(
            leader.get(),
            "POST",
            RELAY_PATH,
            message.write(),
            RELAY_TIMEOUT_MICROS,
            (status, body) -> {
              foreignTasks.callInFlight = false;
              if (!closed && status == HttpStatus.OK) {
                foreignTasks.expiryRelayed = leaseExpired;
                storeCommands(machineForeignTasks, foreignTasks, body);
              }
            });
  }

  private Optional<Endpoint> leaderOf(String originatingShard) {
    return view.leader(originatingShard)
        .flatMap(
            label ->
                context.platform().peers().stream()
                    .filter(seed -> seed.label().equals(label))
                    .findFirst())
        .map(PlatformConfiguration.PeerController::endpoint);
  }

  private void storeCommands(
      MachineForeignTasks machineForeignTasks, TasksOfShard foreignTasks, byte[] body) {
    try {
      for (WorkerCommand command : WorkerCommand.parseResponse(body)) {
        if (command.type() != WorkerCommand.CommandType.RUN
            && foreignTasks.tasks.containsKey(command.attempt())) {
          machineForeignTasks.commands.put(command.attempt(), command);
        }
      }
    } catch (InvalidMessageException e) {
      log.warn(
          "unreadable response of an originating shard to a relayed heartbeat: {}: {}",
          new String(body, StandardCharsets.UTF_8),
          e.getMessage());
    }
  }

  /**
   * Returns whether tasks of other shards may be running on the machine and, if so, the send time
   * of the last read that shows which of their jobs have ended. Until the machine reports a fencing
   * token of this leader's term, tasks that its heartbeats do not list count as running.
   */
  ForeignTaskEvidence evidence(Machine machine) {
    MachineForeignTasks machineForeignTasks = foreignTasksByMachine.get(machine.id());
    if (machineForeignTasks == null) {
      return ForeignTaskEvidence.NONE;
    }
    boolean anyRunning = false;
    long endedJobsReadMicros = Long.MAX_VALUE;
    for (Map.Entry<String, TasksOfShard> entry : machineForeignTasks.byShard.entrySet()) {
      boolean running =
          entry.getValue().tasks.keySet().stream()
              .anyMatch(attempt -> !machineForeignTasks.ended.contains(attempt));
      if (running) {
        anyRunning = true;
        endedJobsReadMicros =
            Math.min(endedJobsReadMicros, watch(entry.getKey()).endedJobsReadMicros());
      }
    }
    return new ForeignTaskEvidence(anyRunning, endedJobsReadMicros);
  }

  /**
   * Returns the commands for the tasks of other shards on the machine: the commands that those
   * shards sent, and a stop for each running task whose job has ended according to the state
   * service.
   */
  List<WorkerCommand> commands(Machine machine, Heartbeat heartbeat) {
    MachineForeignTasks machineForeignTasks = foreignTasksByMachine.get(machine.id());
    if (machineForeignTasks == null) {
      return List.of();
    }
    List<WorkerCommand> commands = new ArrayList<>();
    boolean ofCurrentTerm = machine.tokens().isOfSameTerm(heartbeat.fencingToken());
    for (Heartbeat.AttemptStatus reported : heartbeat.attempts()) {
      WorkerCommand command = machineForeignTasks.commands.get(reported.attempt());
      boolean ended = reported.state() == AttemptState.ENDED;
      if (!ended && jobHasEnded(machineForeignTasks, reported)) {
        commands.add(WorkerCommand.stop(reported.task(), reported.attempt(), 0));
      } else if (command != null
          && (command.type() == WorkerCommand.CommandType.REMOVE
              ? ended && ofCurrentTerm
              : !ended)) {
        commands.add(command);
      }
    }
    return commands;
  }

  private boolean jobHasEnded(
      MachineForeignTasks machineForeignTasks, Heartbeat.AttemptStatus reported) {
    return machineForeignTasks.byShard.entrySet().stream()
        .anyMatch(
            entry ->
                entry.getValue().tasks.containsKey(reported.attempt())
                    && watch(entry.getKey()).hasEnded(reported.task().job()));
  }

  void close() {
    closed = true;
    endedJobsByShard.values().forEach(EndedJobsWatch::close);
  }
}
