package plumlever.leader.scheduling;

/** Results that a scheduling pass collects. */
record PassResults(StartPlan plannedStarts, TeamQuotas quotas, RentalDemands demands) {
  /**
   * Clears the planned starts, the charged quotas and the collected rental demands for a new pass.
   * Demands published by the last pass are kept.
   */
  void clear() {
    plannedStarts.clear();
    quotas.clear();
    demands.clear();
  }
}
