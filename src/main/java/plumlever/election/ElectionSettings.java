package plumlever.election;

import java.util.Optional;
import plumlever.settings.SchedulerParameters;

/**
 * The settings of a candidate for leadership.
 *
 * @param label the label of the controller
 * @param poolTerms assigns the terms of the controller's shard; empty if the shard belongs to no
 *     pool
 * @param seed seeds the random pauses between election attempts and the nonce that identifies this
 *     process
 */
public record ElectionSettings(
    String label, SchedulerParameters parameters, Optional<PoolTerms> poolTerms, long seed) {}
