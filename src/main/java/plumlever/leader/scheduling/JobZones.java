package plumlever.leader.scheduling;

import plumlever.fleet.Attempt;
import plumlever.fleet.Job;
import plumlever.placement.Zones;

/** Converts a job's zone constraints for placement. */
final class JobZones {
  private JobZones() {}

  /** Returns the job's zone constraints together with the zones in which its live attempts run. */
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
