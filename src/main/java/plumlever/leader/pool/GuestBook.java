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
import plumlever.leader.context.Context;
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
  private static final class Guests {
    /** All attempts that the home may have on the machine, also those that are over. */
    private final Map<Long, GuestTask> tasks = new LinkedHashMap<>();

    private boolean calling;
    private long calledMicros = Long.MIN_VALUE / 4;
    private Heartbeat lastHeartbeat;
    private boolean lapsed;
    private boolean lapseTold;
  }

  /** All guests of one machine. */
  private static final class Lodging {
    private final Machine machine;
    private final Map<String, Guests> byHome = new LinkedHashMap<>();
    private final Map<Long, WorkerCommand> commands = new HashMap<>();
    private final Set<Long> ended = new HashSet<>();

    Lodging(Machine machine) {
      this.machine = machine;
    }
  }

  private final Logger log;
  private final Context context;
  private final SharingSettings sharing;
  private final PoolView view;
  private final Map<String, Lodging> lodgings = new LinkedHashMap<>();
  private final Map<String, HomeWatch> homes = new HashMap<>();
  private boolean closed;

  GuestBook(Context context, SharingSettings sharing, PoolView view) {
    this.context = context;
    this.log = context.logs().of(GuestBook.class);
    this.sharing = sharing;
    this.view = view;
  }

  /** The record of a machine of this cell: homes come with a transfer and leave when settled. */
  void update(Machine machine, TransferRecord record) {
    Lodging lodging = lodgings.computeIfAbsent(machine.id(), id -> new Lodging(machine));
    record
        .homes()
        .forEach(
            (home, tasks) -> {
              if (!home.equals(sharing.ownCell().name()) && !lodging.byHome.containsKey(home)) {
                Guests guests = new Guests();
                tasks.forEach(task -> guests.tasks.put(task.attempt(), task));
                lodging.byHome.put(home, guests);
                tasks.forEach(task -> watch(home).watch(task.task().job()));
              }
            });
    lodging.byHome.keySet().retainAll(record.homes().keySet());
    settleLoad(lodging);
    if (lodging.byHome.isEmpty()) {
      remove(machine);
    }
  }

  /** The machine has no guests any more, or is not this cell's. */
  void remove(Machine machine) {
    if (lodgings.remove(machine.id()) != null) {
      machine.load().setGuests(GuestLoad.NONE);
      tidyWatches();
    }
  }

  private HomeWatch watch(String home) {
    return homes.computeIfAbsent(home, name -> new HomeWatch(context, sharing.cell(name).prefix()));
  }

  private void tidyWatches() {
    homes.forEach(
        (home, watch) ->
            watch.keepOnly(
                lodgings.values().stream()
                    .filter(lodging -> lodging.byHome.containsKey(home))
                    .flatMap(lodging -> lodging.byHome.get(home).tasks.values().stream())
                    .map(task -> task.task().job())
                    .collect(Collectors.toSet())));
  }

  boolean isGuest(Machine machine, long attempt) {
    Lodging lodging = lodgings.get(machine.id());
    return lodging != null
        && lodging.byHome.values().stream().anyMatch(guests -> guests.tasks.containsKey(attempt));
  }

  /** A heartbeat of the machine was taken in. */
  void reported(Machine machine, Heartbeat heartbeat) {
    Lodging lodging = lodgings.get(machine.id());
    if (lodging == null) {
      return;
    }
    Set<Long> listed = new HashSet<>();
    lodging.ended.clear();
    for (Heartbeat.AttemptStatus reported : heartbeat.attempts()) {
      listed.add(reported.attempt());
      if (reported.state() == AttemptState.ENDED) {
        lodging.ended.add(reported.attempt());
      }
    }
    if (machine.tokens().isOfSameTerm(heartbeat.fencingToken())) {
      // What a former owner ordered can't come any more: what is not on the machine is over.
      lodging.byHome.values().forEach(guests -> guests.tasks.keySet().retainAll(listed));
    }
    lodging.commands.keySet().retainAll(listed);
    settleLoad(lodging);
    if (machine.tokens().isOfSameTerm(heartbeat.fencingToken())) {
      lodging.byHome.forEach((home, guests) -> relay(lodging, home, guests, heartbeat, false));
    }
  }

  private static void settleLoad(Lodging lodging) {
    int count = 0;
    double cores = 0;
    double accelerators = 0;
    double memoryGb = 0;
    for (Guests guests : lodging.byHome.values()) {
      for (GuestTask task : guests.tasks.values()) {
        if (!guests.lapsed && !lodging.ended.contains(task.attempt())) {
          count++;
          cores += task.cores();
          accelerators += task.accelerators();
          memoryGb += task.memoryGb();
        }
      }
    }
    lodging.machine.load().setGuests(new GuestLoad(count, cores, accelerators, memoryGb));
  }

  /** The machine's lease has surely lapsed, so its tasks are dead: their homes are told. */
  void lapsed(Machine machine) {
    Lodging lodging = lodgings.get(machine.id());
    if (lodging == null) {
      return;
    }
    lodging.byHome.forEach(
        (home, guests) -> {
          guests.lapsed = true;
          if (guests.lastHeartbeat != null && !guests.lapseTold) {
            relay(lodging, home, guests, guests.lastHeartbeat, true);
          }
        });
    settleLoad(lodging);
  }

  private void relay(
      Lodging lodging, String home, Guests guests, Heartbeat heartbeat, boolean lapsed) {
    long now = context.loop().nowMicros();
    guests.lastHeartbeat = heartbeat;
    guests.lapsed = lapsed;
    Optional<Endpoint> leader = leaderOf(home);
    if (closed
        || guests.calling
        || leader.isEmpty()
        || now - guests.calledMicros < LEAST_PAUSE_MICROS
        || !context.term().mayAct()) {
      return;
    }
    guests.calling = true;
    guests.calledMicros = now;
    List<Heartbeat.AttemptStatus> attempts =
        heartbeat.attempts().stream()
            .filter(reported -> guests.tasks.containsKey(reported.attempt()))
            .toList();
    RelayedHeartbeat message =
        new RelayedHeartbeat(
            sharing.ownCell().name(),
            home,
            lodging.machine.tokens().term(),
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
              guests.calling = false;
              if (!closed && status == HttpStatus.OK) {
                guests.lapseTold = lapsed;
                take(lodging, guests, body);
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

  private void take(Lodging lodging, Guests guests, byte[] body) {
    try {
      for (WorkerCommand command : WorkerCommand.parseAnswer(body)) {
        if (command.type() != WorkerCommand.CommandType.RUN
            && guests.tasks.containsKey(command.attempt())) {
          lodging.commands.put(command.attempt(), command);
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
    Lodging lodging = lodgings.get(machine.id());
    if (lodging == null) {
      return GuestEvidence.NONE;
    }
    boolean anyRunning = false;
    long knownMicros = Long.MAX_VALUE;
    for (Map.Entry<String, Guests> entry : lodging.byHome.entrySet()) {
      boolean running =
          entry.getValue().tasks.keySet().stream()
              .anyMatch(attempt -> !lodging.ended.contains(attempt));
      if (running) {
        anyRunning = true;
        knownMicros = Math.min(knownMicros, watch(entry.getKey()).endsKnownMicros());
      }
    }
    return new GuestEvidence(anyRunning, knownMicros);
  }

  /** What the homes want, and stops of jobs whose end is on record. */
  List<WorkerCommand> commands(Machine machine, Heartbeat heartbeat) {
    Lodging lodging = lodgings.get(machine.id());
    if (lodging == null) {
      return List.of();
    }
    List<WorkerCommand> commands = new ArrayList<>();
    boolean current = machine.tokens().isOfSameTerm(heartbeat.fencingToken());
    for (Heartbeat.AttemptStatus reported : heartbeat.attempts()) {
      WorkerCommand command = lodging.commands.get(reported.attempt());
      boolean over = reported.state() == AttemptState.ENDED;
      if (!over && jobHasEnded(lodging, reported)) {
        commands.add(WorkerCommand.stop(reported.task(), reported.attempt(), 0));
      } else if (command != null
          && (command.type() == WorkerCommand.CommandType.REMOVE ? over && current : !over)) {
        commands.add(command);
      }
    }
    return commands;
  }

  private boolean jobHasEnded(Lodging lodging, Heartbeat.AttemptStatus reported) {
    return lodging.byHome.entrySet().stream()
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
