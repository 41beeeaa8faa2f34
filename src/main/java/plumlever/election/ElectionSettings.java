package plumlever.election;

import java.util.Optional;
import plumlever.settings.SchedulerParameters;

/**
 * The settings of a candidate for leadership.
 *
 * @param label the label of the controller
 * @param poolTerms assigns the terms if the controller belongs to a shard of a pool
 * @param seed seeds the random pauses and the nonce of this process
 */
public record ElectionSettings(
    String label, SchedulerParameters parameters, Optional<PoolTerms> poolTerms, long seed) {}
