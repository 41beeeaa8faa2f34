/**
 * One term of the leader: assembles the parts of a term from the packages below and ends them with
 * it. What the parts decide is known there, not here.
 */
package plumlever.leader;
