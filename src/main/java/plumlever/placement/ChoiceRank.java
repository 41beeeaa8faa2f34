package plumlever.placement;

/** Ranks of placements that meet the task's deadline and latest start time, best rank first. */
enum ChoiceRank {
  NOW_WITH_PADDING(false, true),
  LATER_WITH_PADDING(true, true),
  NOW_WITHOUT_PADDING(false, false),
  LATER_WITHOUT_PADDING(true, false);

  /** True if the task has to wait until capacity becomes free. */
  final boolean later;

  /**
   * True if the task meets its deadline and latest start time even with the padded run time (the
   * estimate plus a safety margin).
   */
  final boolean padded;

  ChoiceRank(boolean later, boolean padded) {
    this.later = later;
    this.padded = padded;
  }
}
