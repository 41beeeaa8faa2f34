package plumlever.http;

import plumlever.settings.SharingSettings;

/** Where a job was found among the other cells of a pool. */
sealed interface JobLocation {
  /** The cell has the job, and will have it for ever. */
  record InCell(SharingSettings.Cell cell) implements JobLocation {}

  /** No other cell had the job when the question came in. */
  record Nowhere() implements JobLocation {}

  /** That can't be found out now. */
  record Unavailable() implements JobLocation {}
}
