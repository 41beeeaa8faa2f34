package plumlever.leader.scheduling;

import plumlever.fleet.Attempt;
import plumlever.fleet.Job;
import plumlever.placement.Zones;

/** A job's zone rules as placement needs them. */
final class JobZones {
  private JobZones() {}

  /** The job's zone rules, counting all its tasks that may still be on a machine. */
  static Zones of(Job job) {
    if (!job.spec().oneZone() && !job.spec().spread()) {
      return Zones.unrestricted();
    }
    Zones zones = new Zones(job.spec().oneZone(), job.spec().maxTasksPerZone());
    for (Attempt attempt : job.liveAttempts()) {
      zones.add(attempt.machine().zone());
    }
    return zones;
  }
}
