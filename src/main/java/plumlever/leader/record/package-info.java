/**
 * Values of the state service that many entries share, and the reads with which a new leader
 * recovers what earlier ones stored. It does not know what the entries mean.
 */
package plumlever.leader.record;
