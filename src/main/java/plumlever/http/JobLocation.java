package plumlever.http;

import plumlever.settings.SharingSettings;

/** Where a job was found among the other shards of a pool. */
sealed interface JobLocation {
  /** The shard has the job, and will have it for ever. */
  record InShard(SharingSettings.Shard shard) implements JobLocation {}

  /** No other shard had the job when the question came in. */
  record Nowhere() implements JobLocation {}

  /** That can't be found out now. */
  record Unavailable() implements JobLocation {}
}
