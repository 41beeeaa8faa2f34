package plumlever.leader.scheduling;

/** What a pass produces as it goes through the jobs. */
record PassResults(PlannedStarts plannedStarts, TeamQuotas quotas, RentalDemands demands) {
  /** A new pass begins; the demands that the last one published stay. */
  void clear() {
    plannedStarts.clear();
    quotas.clear();
    demands.clear();
  }
}
