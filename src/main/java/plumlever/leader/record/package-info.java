/**
 * State service values that hold many entries each, and the reads with which a new leader recovers
 * the records of earlier leaders.
 *
 * <p>Owns the distribution of entries over values and the guards of their writes. Must not depend
 * on the meaning of the entries.
 */
package plumlever.leader.record;
