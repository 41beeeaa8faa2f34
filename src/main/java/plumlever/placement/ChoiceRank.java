package plumlever.placement;

/**
 * Ranks of the placements on which a task meets its deadline and its latest start time, best first.
 */
enum ChoiceRank {
  NOW_WITH_PADDING(false, true),
  LATER_WITH_PADDING(true, true),
  NOW_WITHOUT_PADDING(false, false),
  LATER_WITHOUT_PADDING(true, false);

  /** True if the task has to wait until capacity becomes free. */
  final boolean later;

  /** True if the task meets its times even with the padded run time. */
  final boolean padded;

  ChoiceRank(boolean later, boolean padded) {
    this.later = later;
    this.padded = padded;
  }
}
