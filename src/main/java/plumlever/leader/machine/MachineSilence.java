package plumlever.leader.machine;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.leader.context.Context;
import plumlever.leader.failover.Failover;

/**
 * Which machines are silent, and what that means: that one is gone, that a zone is cut off, or that
 * this controller has lost its workers. What was measured while this thread ran late counts for
 * nothing.
 */
final class MachineSilence {
  /** A thread as late as this has read too little to judge who is silent. */
  private static final long LATE_MICROS = 1_000_000;

  /**
   * A zone is taken for cut off when at least so many of its machines, and half of all, are silent.
   */
  private static final int LEAST_SILENT = 2;

  /** Of ten machines, so many silent ones here and reporting ones elsewhere mean lost workers. */
  private static final int LOST_OF_TEN = 7;

  private static final int ELSEWHERE_OF_TEN = 4;
  private static final int TEN = 10;

  /** Machines of one zone. */
  private static final class ZoneCount {
    private int machines;
    private int silent;

    /** Machines that the failover still waits for. */
    private int open;

    boolean isCut() {
      return silent >= LEAST_SILENT && silent * 2 >= machines;
    }

    /** True while most machines of the zone have come over. */
    boolean mostlyTakenOver() {
      return open * 3 <= machines;
    }
  }

  private final Logger log;
  private final Context context;
  private final Fleet fleet;
  private final Failover failover;
  private final Map<String, ZoneCount> zones = new HashMap<>();

  /** Zones whose machines seem to be behind a cut: nothing is returned or rented there. */
  private final Map<String, Long> cutZones = new HashMap<>();

  private long punctualSinceMicros;

  MachineSilence(Context context, Fleet fleet, Failover failover) {
    this.context = context;
    this.log = context.logs().of(MachineSilence.class);
    this.fleet = fleet;
    this.failover = failover;
  }

  /** A thread that runs late has read too little to judge who is silent. */
  void noteLateness(long now) {
    if (context.latenessMicros().getAsLong() > LATE_MICROS) {
      punctualSinceMicros = now;
    }
  }

  /** True for a zone whose machines seem to be behind a cut. */
  boolean isCut(String zone) {
    return cutZones.containsKey(zone);
  }

  /** Zones whose machines seem to be behind a cut. */
  Set<String> cutZones() {
    return cutZones.keySet();
  }

  /** True while most machines of the zone have come over to this leader. */
  boolean isMostlyTakenOver(String zone) {
    ZoneCount count = zones.get(zone);
    return count != null && count.mostlyTakenOver();
  }

  /** Heartbeats that are far apart make a machine seem silent later. */
  long mostMicros() {
    return Math.max(
        context.parameters().silentMicros(),
        2 * context.platform().workers().heartbeatMicros()
            + context.platform().workers().heartbeatMicros() / 2);
  }

  /** For how long nothing was heard of the machine. */
  long of(Machine machine, long now) {
    // What a thread that runs late has not read yet is no silence.
    return now
        - Math.max(
            machine.contact().lastSeenMicros(),
            Math.max(failover.loadedMicros(), punctualSinceMicros));
  }

  /**
   * True when most machines are silent here while many report elsewhere: this controller has lost
   * its workers, not the workers their controllers. It could keep leadership for ever, and no
   * machine would get an answer or a command.
   */
  boolean lostItsWorkers() {
    int all = 0;
    int silent = 0;
    for (ZoneCount zone : zones.values()) {
      all += zone.machines;
      silent += zone.silent;
    }
    return all > 0
        && silent * TEN >= all * LOST_OF_TEN
        && context.workersElsewhere().getAsInt() * TEN >= all * ELSEWHERE_OF_TEN;
  }

  /** Counts machines anew. */
  void look(long now) {
    zones.clear();
    for (Machine machine : fleet.machines()) {
      boolean open = failover.open().contains(machine);
      if (machine.contact().hasReported() || open) {
        ZoneCount zone = zones.computeIfAbsent(machine.zone(), name -> new ZoneCount());
        zone.machines++;
        zone.open += open ? 1 : 0;
        // One missed heartbeat already: machines behind a cut fall silent one after the other, and
        // by the time the first is called silent all the others must have missed one as well.
        if (of(machine, now) > context.platform().workers().missedHeartbeatMicros()) {
          zone.silent++;
        }
      }
    }
  }

  /**
   * When a cut ends, its machines find their way back one by one, so it is kept in mind for as long
   * again.
   */
  void noteCuts(long now) {
    cutZones.values().removeIf(until -> until < now);
    zones.forEach(
        (name, zone) -> {
          if (zone.isCut() && cutZones.put(name, now + mostMicros()) == null) {
            log.warn(
                "{} of {} machines in {} are silent, as behind a cut",
                zone.silent,
                zone.machines,
                name);
          }
        });
  }
}
