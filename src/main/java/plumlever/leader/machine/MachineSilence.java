package plumlever.leader.machine;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;

/**
 * Which machines are silent, and what that means: that one is gone, that a zone is partitioned, or
 * that this controller has lost its workers. Silence measured while this thread ran late does not
 * count.
 */
final class MachineSilence {
  /** A thread as late as this has read too little to judge who is silent. */
  private static final long MAX_LATENESS_MICROS = 1_000_000;

  /** A zone counts as partitioned if at least so many machines, and half of all, are silent. */
  private static final int MIN_SILENT_IN_PARTITIONED_ZONE = 2;

  /** This controller has lost its workers if such a percentage is silent here... */
  private static final int SILENT_PERCENT_OF_LOST = 70;

  /** ... and at least so many report to others, as a percentage of the machines known here. */
  private static final int ELSEWHERE_PERCENT_OF_LOST = 40;

  private static final int PERCENT = 100;

  /** How many machines of one zone are in which state. */
  private static final class ZoneCount {
    private int machines;
    private int silent;

    /** Machines that the failover still waits for. */
    private int unaccounted;

    boolean isPartitioned() {
      return silent >= MIN_SILENT_IN_PARTITIONED_ZONE && silent * 2 >= machines;
    }

    /** True if at most a third of the machines are not accounted for. */
    boolean mostlyReported() {
      return unaccounted * 3 <= machines;
    }
  }

  private final Logger log;
  private final TermContext context;
  private final Fleet fleet;
  private final Failover failover;
  private final Map<String, ZoneCount> zones = new HashMap<>();

  /** Zones that seem to be partitioned, and until when they count as such. */
  private final Map<String, Long> partitionedZones = new HashMap<>();

  private long punctualSinceMicros;

  MachineSilence(TermContext context, Fleet fleet, Failover failover) {
    this.context = context;
    this.log = context.logs().of(MachineSilence.class);
    this.fleet = fleet;
    this.failover = failover;
  }

  /** Takes in whether this thread runs late; silence counts only from when it does not. */
  void recordLateness(long now) {
    if (context.latenessMicros().getAsLong() > MAX_LATENESS_MICROS) {
      punctualSinceMicros = now;
    }
  }

  /** True for a zone that seems to be partitioned: nothing is returned or rented there. */
  boolean isPartitioned(String zone) {
    return partitionedZones.containsKey(zone);
  }

  /** Zones that seem to be partitioned. */
  Set<String> partitionedZones() {
    return partitionedZones.keySet();
  }

  /** True if most machines of the zone have reported to this leader. */
  boolean hasMostlyReported(String zone) {
    ZoneCount count = zones.get(zone);
    return count != null && count.mostlyReported();
  }

  /** A machine silent for longer is gone or partitioned; at least two and a half heartbeats. */
  long thresholdMicros() {
    long heartbeatMicros = context.platform().workers().heartbeatMicros();
    return Math.max(context.parameters().silentMicros(), 2 * heartbeatMicros + heartbeatMicros / 2);
  }

  /**
   * For how long nothing has been heard of the machine, counted from the failover and from when
   * this thread was late last: what a late thread has not read yet is no silence.
   */
  long silentMicros(Machine machine, long now) {
    return now
        - Math.max(
            machine.contact().lastSeenMicros(),
            Math.max(failover.loadedMicros(), punctualSinceMicros));
  }

  /**
   * True when most machines are silent here while many report elsewhere: only this controller is
   * cut off from the workers. As leader it would leave all machines without answers and commands.
   */
  boolean lostItsWorkers() {
    int all = 0;
    int silent = 0;
    for (ZoneCount zone : zones.values()) {
      all += zone.machines;
      silent += zone.silent;
    }
    return all > 0
        && silent * PERCENT >= all * SILENT_PERCENT_OF_LOST
        && context.workersElsewhere().getAsInt() * PERCENT >= all * ELSEWHERE_PERCENT_OF_LOST;
  }

  /** Counts the machines of each zone again. */
  void countMachines(long now) {
    zones.clear();
    for (Machine machine : fleet.machines()) {
      boolean unaccounted = failover.unaccounted().contains(machine);
      if (machine.contact().hasReported() || unaccounted) {
        ZoneCount zone = zones.computeIfAbsent(machine.zone(), name -> new ZoneCount());
        zone.machines++;
        zone.unaccounted += unaccounted ? 1 : 0;
        // One missed heartbeat is enough here: machines of a zone fall silent one after the other,
        // and when the first reaches the threshold all others must have missed one as well.
        if (silentMicros(machine, now) > context.platform().workers().missedHeartbeatMicros()) {
          zone.silent++;
        }
      }
    }
  }

  /**
   * Decides by the last count which zones seem to be partitioned. They count as such for some time
   * after the partition has ended, since their machines report again one by one.
   */
  void updatePartitionedZones(long now) {
    partitionedZones.values().removeIf(until -> until < now);
    zones.forEach(
        (name, zone) -> {
          if (zone.isPartitioned() && partitionedZones.put(name, now + thresholdMicros()) == null) {
            log.warn(
                "{} of {} machines in {} are silent, as in a network partition",
                zone.silent,
                zone.machines,
                name);
          }
        });
  }
}
