package plumlever.http;

import plumlever.settings.SharingSettings;

/** The result of a search for a job in the other shards of a pool. */
sealed interface JobLocation {
  /** A shard of the pool that has the job. A job is never transferred to another shard. */
  record InShard(SharingSettings.Shard shard) implements JobLocation {}

  /** No other shard had the job when the request arrived. */
  record NotFound() implements JobLocation {}

  /** It cannot be determined at the moment whether another shard has the job. */
  record Unavailable() implements JobLocation {}
}
