package plumlever.placement;

/** How well a choice serves a task in time, the best first. */
enum ChoiceRank {
  NOW_WITH_PADDING(false, true),
  LATER_WITH_PADDING(true, true),
  NOW_WITHOUT_PADDING(false, false),
  LATER_WITHOUT_PADDING(true, false);

  /** True if the task has to wait until capacity comes free. */
  final boolean later;

  /** True if the task is in time though it runs longer than estimated, by the padding. */
  final boolean padded;

  ChoiceRank(boolean later, boolean padded) {
    this.later = later;
    this.padded = padded;
  }
}
