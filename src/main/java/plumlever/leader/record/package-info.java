/**
 * Values of the state service that many entries share, and the reads with which a new leader
 * recovers what earlier ones stored.
 *
 * <p>Owns how entries are spread over values and how writes of them are guarded. It must not know
 * what the entries mean.
 */
package plumlever.leader.record;
