package plumlever.http;

import plumlever.settings.SharingSettings;

/** The result of a search for a job in the other shards of a pool. */
sealed interface JobLocation {
  /** The shard has the job. A job is never transferred to another shard. */
  record InShard(SharingSettings.Shard shard) implements JobLocation {}

  /** No other shard had the job when the request arrived. */
  record NotFound() implements JobLocation {}

  /** The location can't be determined at the moment. */
  record Unavailable() implements JobLocation {}
}
