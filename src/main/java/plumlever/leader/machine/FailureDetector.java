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
 * Detects silent machines and the cause of the silence: a machine is gone, its zone is partitioned,
 * or this controller has lost its connection to the workers. Silence measured while the event loop
 * ran late does not count.
 */
final class FailureDetector {
  /**
   * An event loop that is later than this has read too few heartbeats to decide which machines are
   * silent.
   */
  private static final long MAX_LATENESS_MICROS = 1_000_000;

  /**
   * A zone counts as partitioned if at least this many of its machines, and at least half of all
   * its machines, are silent.
   */
  private static final int MIN_SILENT_IN_PARTITIONED_ZONE = 2;

  /**
   * Minimum percentage of silent machines at which this controller counts as partitioned from the
   * workers, provided that enough workers report to other controllers.
   */
  private static final int MIN_SILENT_PERCENT_IF_PARTITIONED = 70;

  /**
   * Minimum number of workers that report to other controllers for this controller to count as
   * partitioned from the workers, as a percentage of the machines known here.
   */
  private static final int MIN_ELSEWHERE_PERCENT_IF_PARTITIONED = 40;

  private static final int PERCENT = 100;

  /**
   * Counts of the machines of one zone: all machines, the silent machines, and the machines that
   * may still run tasks that earlier leaders started and this leader does not know of.
   */
  private static final class ZoneCount {
    private int machines;
    private int silent;

    /**
     * Number of machines of the zone that may still run tasks that earlier leaders started and this
     * leader does not know of.
     */
    private int unaccounted;

    boolean isPartitioned() {
      return silent >= MIN_SILENT_IN_PARTITIONED_ZONE && silent * 2 >= machines;
    }

    /**
     * Returns true if at most a third of the machines of the zone may still run tasks that earlier
     * leaders started and this leader does not know of.
     */
    boolean mostlyReported() {
      return unaccounted * 3 <= machines;
    }
  }

  private final Logger log;
  private final TermContext context;
  private final Fleet fleet;
  private final Failover failover;
  private final Map<String, ZoneCount> zones = new HashMap<>();

  /**
   * Zones that seem to be partitioned, with the time at which they stop counting as partitioned.
   */
  private final Map<String, Long> partitionedZones = new HashMap<>();

  private long lastLateMicros;

  FailureDetector(TermContext context, Fleet fleet, Failover failover) {
    this.context = context;
    this.log = context.loggerProvider().of(FailureDetector.class);
    this.fleet = fleet;
    this.failover = failover;
  }

  /**
   * Records the present time if the event loop runs late. The silence of a machine is counted from
   * the last recorded time at the earliest.
   */
  void recordLateness(long now) {
    if (context.latenessMicros().getAsLong() > MAX_LATENESS_MICROS) {
      lastLateMicros = now;
    }
  }

  /**
   * Returns true for a zone that seems to be partitioned; no machines are rented there, and silent
   * machines are kept for longer.
   */
  boolean isPartitioned(String zone) {
    return partitionedZones.containsKey(zone);
  }

  /** Returns the zones that seem to be partitioned. */
  Set<String> partitionedZones() {
    return partitionedZones.keySet();
  }

  /** Returns true if most machines of the zone have reported to this leader. */
  boolean hasMostlyReported(String zone) {
    ZoneCount count = zones.get(zone);
    return count != null && count.mostlyReported();
  }

  /**
   * Returns the duration of silence after which a machine counts as gone or partitioned; at least
   * two and a half heartbeat intervals.
   */
  long thresholdMicros() {
    long heartbeatMicros = context.platform().workers().heartbeatMicros();
    return Math.max(
        context.parameters().heartbeatTimeoutMicros(), 2 * heartbeatMicros + heartbeatMicros / 2);
  }

  /**
   * Returns for how long nothing has been received from the machine. The time is counted at the
   * earliest from the loading of the machines and from the last late cycle of the event loop,
   * because a late loop has not read all received messages yet.
   */
  long silentMicros(Machine machine, long now) {
    return now
        - Math.max(
            machine.contact().lastSeenMicros(), Math.max(failover.loadedMicros(), lastLateMicros));
  }

  /**
   * Returns true if most machines are silent here while many workers report to other controllers,
   * so only this controller is partitioned from the workers. If it remained leader, all machines
   * would be left without responses and commands.
   */
  boolean isPartitionedFromWorkers() {
    int all = 0;
    int silent = 0;
    for (ZoneCount zone : zones.values()) {
      all += zone.machines;
      silent += zone.silent;
    }
    return all > 0
        && silent * PERCENT >= all * MIN_SILENT_PERCENT_IF_PARTITIONED
        && context.workersAtOtherControllers().getAsInt() * PERCENT
            >= all * MIN_ELSEWHERE_PERCENT_IF_PARTITIONED;
  }

  /**
   * Counts, for each zone, the machines that have sent a heartbeat or may run tasks of earlier
   * leaders, and the silent ones among them.
   */
  void countMachines(long now) {
    zones.clear();
    for (Machine machine : fleet.machines()) {
      boolean unaccounted = failover.unaccounted().contains(machine);
      if (machine.contact().hasSentHeartbeat() || unaccounted) {
        ZoneCount zone = zones.computeIfAbsent(machine.zone(), name -> new ZoneCount());
        zone.machines++;
        zone.unaccounted += unaccounted ? 1 : 0;
        // Counts a machine as silent after one missed heartbeat. The machines of a partitioned
        // zone become silent one after the other; when the first one reaches the threshold, each
        // of the others has missed at least one heartbeat.
        if (silentMicros(machine, now) > context.platform().workers().missedHeartbeatMicros()) {
          zone.silent++;
        }
      }
    }
  }

  /**
   * Derives the partitioned zones from the last count. A zone counts as partitioned for some time
   * after the partition has ended, because its machines resume their heartbeats one by one.
   */
  void updatePartitionedZones(long now) {
    partitionedZones.values().removeIf(until -> until < now);
    zones.forEach(
        (name, zone) -> {
          if (zone.isPartitioned() && partitionedZones.put(name, now + thresholdMicros()) == null) {
            log.warn(
                "{} of {} machines in zone {} are silent, the zone counts as partitioned",
                zone.silent,
                zone.machines,
                name);
          }
        });
  }
}
