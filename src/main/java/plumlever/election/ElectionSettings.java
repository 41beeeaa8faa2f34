package plumlever.election;

import java.util.Optional;
import plumlever.settings.SchedulerParameters;

/**
 * How a controller stands for election.
 *
 * @param label of the controller
 * @param poolTerms where terms come from if it is in one shard of a pool
 * @param seed of the random pauses, and of what tells this process from earlier ones
 */
public record ElectionSettings(
    String label, SchedulerParameters parameters, Optional<PoolTerms> poolTerms, long seed) {}
