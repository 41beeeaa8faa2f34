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
import plumlever.fleet.GuestLoad;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.lease.GuestEvidence;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SharingSettings;
import plumlever.sharing.GuestTask;
import plumlever.sharing.PoolView;
import plumlever.sharing.TransferRecord;
import plumlever.wire.AttemptState;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.RelayedHeartbeat;
import plumlever.wire.WorkerCommand;

/**
 * Tasks of other cells on this cell's machines. Their home alone decides about them: what the
 * machine tells of them is passed on to it, and what it answers is carried out with the next answer
 * to the machine. While the home is silent they run on, and their ends stay with the worker.
 */
final class GuestBook {
  /** Where controllers take what is passed on to them. */
  static final String PATH = "/relay";

  private static final long TIMEOUT_MICROS = 2_000_000;
  private static final long LEAST_PAUSE_MICROS = 900_000;

  /** The guests of one home on one machine. */
  private static final class HomeGuests {
    /** All attempts that the home may have on the machine, also those that are over. */
    private final Map<Long, GuestTask> tasks = new LinkedHashMap<>();

    private boolean callInFlight;
    private long calledMicros = Long.MIN_VALUE / 4;
    private Heartbeat lastHeartbeat;
    private boolean lapsed;
    private boolean expiryRelayed;
  }

  /** All guests of one machine. */
  private static final class MachineGuests {
    private final Machine machine;
    private final Map<String, HomeGuests> byHome = new LinkedHashMap<>();
    private final Map<Long, WorkerCommand> commands = new HashMap<>();
    private final Set<Long> ended = new HashSet<>();

    MachineGuests(Machine machine) {
      this.machine = machine;
    }
  }

  private final Logger log;
  private final TermContext context;
  private final SharingSettings sharing;
  private final PoolView view;
  private final Map<String, MachineGuests> guestsByMachine = new LinkedHashMap<>();
  private final Map<String, HomeWatch> homes = new HashMap<>();
  private boolean closed;

  GuestBook(TermContext context, SharingSettings sharing, PoolView view) {
    this.context = context;
    this.log = context.logs().of(GuestBook.class);
    this.sharing = sharing;
    this.view = view;
  }

  /** The record of a machine of this cell: homes come with a transfer and leave when settled. */
  void update(Machine machine, TransferRecord record) {
    MachineGuests machineGuests =
        guestsByMachine.computeIfAbsent(machine.id(), id -> new MachineGuests(machine));
    record
        .homes()
        .forEach(
            (home, tasks) -> {
              if (!home.equals(sharing.ownCell().name())
                  && !machineGuests.byHome.containsKey(home)) {
                HomeGuests guests = new HomeGuests();
                tasks.forEach(task -> guests.tasks.put(task.attempt(), task));
                machineGuests.byHome.put(home, guests);
                tasks.forEach(task -> watch(home).watch(task.task().job()));
              }
            });
    machineGuests.byHome.keySet().retainAll(record.homes().keySet());
    updateLoad(machineGuests);
    if (machineGuests.byHome.isEmpty()) {
      remove(machine);
    }
  }

  /** The machine has no guests any more, or is not this cell's. */
  void remove(Machine machine) {
    if (guestsByMachine.remove(machine.id()) != null) {
      machine.load().setGuests(GuestLoad.NONE);
      dropUnneededWatches();
    }
  }

  private HomeWatch watch(String home) {
    return homes.computeIfAbsent(home, name -> new HomeWatch(context, sharing.cell(name).prefix()));
  }

  private void dropUnneededWatches() {
    homes.forEach(
        (home, watch) ->
            watch.keepOnly(
                guestsByMachine.values().stream()
                    .filter(machineGuests -> machineGuests.byHome.containsKey(home))
                    .flatMap(
                        machineGuests -> machineGuests.byHome.get(home).tasks.values().stream())
                    .map(task -> task.task().job())
                    .collect(Collectors.toSet())));
  }

  boolean isGuest(Machine machine, long attempt) {
    MachineGuests machineGuests = guestsByMachine.get(machine.id());
    return machineGuests != null
        && machineGuests.byHome.values().stream()
            .anyMatch(guests -> guests.tasks.containsKey(attempt));
  }

  /** A heartbeat of the machine was taken in. */
  void reported(Machine machine, Heartbeat heartbeat) {
    MachineGuests machineGuests = guestsByMachine.get(machine.id());
    if (machineGuests == null) {
      return;
    }
    Set<Long> listed = new HashSet<>();
    machineGuests.ended.clear();
    for (Heartbeat.AttemptStatus reported : heartbeat.attempts()) {
      listed.add(reported.attempt());
      if (reported.state() == AttemptState.ENDED) {
        machineGuests.ended.add(reported.attempt());
      }
    }
    if (machine.tokens().isOfSameTerm(heartbeat.fencingToken())) {
      // What a former owner ordered can't come any more: what is not on the machine is over.
      machineGuests.byHome.values().forEach(guests -> guests.tasks.keySet().retainAll(listed));
    }
    machineGuests.commands.keySet().retainAll(listed);
    updateLoad(machineGuests);
    if (machine.tokens().isOfSameTerm(heartbeat.fencingToken())) {
      machineGuests.byHome.forEach(
          (home, guests) -> relay(machineGuests, home, guests, heartbeat, false));
    }
  }

  private static void updateLoad(MachineGuests machineGuests) {
    int count = 0;
    double cores = 0;
    double accelerators = 0;
    double memoryGb = 0;
    for (HomeGuests guests : machineGuests.byHome.values()) {
      for (GuestTask task : guests.tasks.values()) {
        if (!guests.lapsed && !machineGuests.ended.contains(task.attempt())) {
          count++;
          cores += task.cores();
          accelerators += task.accelerators();
          memoryGb += task.memoryGb();
        }
      }
    }
    machineGuests.machine.load().setGuests(new GuestLoad(count, cores, accelerators, memoryGb));
  }

  /** The machine's lease has surely lapsed, so its tasks are dead: their homes are told. */
  void lapsed(Machine machine) {
    MachineGuests machineGuests = guestsByMachine.get(machine.id());
    if (machineGuests == null) {
      return;
    }
    machineGuests.byHome.forEach(
        (home, guests) -> {
          guests.lapsed = true;
          if (guests.lastHeartbeat != null && !guests.expiryRelayed) {
            relay(machineGuests, home, guests, guests.lastHeartbeat, true);
          }
        });
    updateLoad(machineGuests);
  }

  private void relay(
      MachineGuests machineGuests,
      String home,
      HomeGuests guests,
      Heartbeat heartbeat,
      boolean lapsed) {
    long now = context.loop().nowMicros();
    guests.lastHeartbeat = heartbeat;
    guests.lapsed = lapsed;
    Optional<Endpoint> leader = leaderOf(home);
    if (closed
        || guests.callInFlight
        || leader.isEmpty()
        || now - guests.calledMicros < LEAST_PAUSE_MICROS
        || !context.term().mayAct()) {
      return;
    }
    guests.callInFlight = true;
    guests.calledMicros = now;
    List<Heartbeat.AttemptStatus> attempts =
        heartbeat.attempts().stream()
            .filter(reported -> guests.tasks.containsKey(reported.attempt()))
            .toList();
    RelayedHeartbeat message =
        new RelayedHeartbeat(
            sharing.ownCell().name(),
            home,
            machineGuests.machine.tokens().term(),
            lapsed,
            RelayedHeartbeat.withAttempts(heartbeat, lapsed ? List.of() : attempts));
    context
        .caller()
        .call(
            leader.get(),
            "POST",
            PATH,
            message.write(),
            TIMEOUT_MICROS,
            (status, body) -> {
              guests.callInFlight = false;
              if (!closed && status == HttpStatus.OK) {
                guests.expiryRelayed = lapsed;
                takeCommands(machineGuests, guests, body);
              }
            });
  }

  private Optional<Endpoint> leaderOf(String home) {
    return view.leader(home)
        .flatMap(
            label ->
                context.platform().peers().stream()
                    .filter(seed -> seed.label().equals(label))
                    .findFirst())
        .map(PlatformConfiguration.PeerController::endpoint);
  }

  private void takeCommands(MachineGuests machineGuests, HomeGuests guests, byte[] body) {
    try {
      for (WorkerCommand command : WorkerCommand.parseAnswer(body)) {
        if (command.type() != WorkerCommand.CommandType.RUN
            && guests.tasks.containsKey(command.attempt())) {
          machineGuests.commands.put(command.attempt(), command);
        }
      }
    } catch (InvalidMessageException e) {
      log.warn(
          "a home's answer can't be read: {}: {}",
          new String(body, StandardCharsets.UTF_8),
          e.getMessage());
    }
  }

  /**
   * What is known of the jobs whose tasks may be on the machine. Until it shows this owner's token,
   * that is all that the homes handed over, whatever its heartbeat list.
   */
  GuestEvidence evidence(Machine machine) {
    MachineGuests machineGuests = guestsByMachine.get(machine.id());
    if (machineGuests == null) {
      return GuestEvidence.NONE;
    }
    boolean anyRunning = false;
    long knownMicros = Long.MAX_VALUE;
    for (Map.Entry<String, HomeGuests> entry : machineGuests.byHome.entrySet()) {
      boolean running =
          entry.getValue().tasks.keySet().stream()
              .anyMatch(attempt -> !machineGuests.ended.contains(attempt));
      if (running) {
        anyRunning = true;
        knownMicros = Math.min(knownMicros, watch(entry.getKey()).endsKnownMicros());
      }
    }
    return new GuestEvidence(anyRunning, knownMicros);
  }

  /** What the homes want, and stops of jobs whose end is on record. */
  List<WorkerCommand> commands(Machine machine, Heartbeat heartbeat) {
    MachineGuests machineGuests = guestsByMachine.get(machine.id());
    if (machineGuests == null) {
      return List.of();
    }
    List<WorkerCommand> commands = new ArrayList<>();
    boolean current = machine.tokens().isOfSameTerm(heartbeat.fencingToken());
    for (Heartbeat.AttemptStatus reported : heartbeat.attempts()) {
      WorkerCommand command = machineGuests.commands.get(reported.attempt());
      boolean over = reported.state() == AttemptState.ENDED;
      if (!over && jobHasEnded(machineGuests, reported)) {
        commands.add(WorkerCommand.stop(reported.task(), reported.attempt(), 0));
      } else if (command != null
          && (command.type() == WorkerCommand.CommandType.REMOVE ? over && current : !over)) {
        commands.add(command);
      }
    }
    return commands;
  }

  private boolean jobHasEnded(MachineGuests machineGuests, Heartbeat.AttemptStatus reported) {
    return machineGuests.byHome.entrySet().stream()
        .anyMatch(
            entry ->
                entry.getValue().tasks.containsKey(reported.attempt())
                    && watch(entry.getKey()).hasEnded(reported.task().job()));
  }

  void close() {
    closed = true;
    homes.values().forEach(HomeWatch::close);
  }
}
