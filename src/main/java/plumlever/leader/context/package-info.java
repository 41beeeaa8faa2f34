/**
 * What the parts of a leader share for one term: the services that they call and the view that they
 * have of a pool. It holds no state of its own and must know none of the parts.
 */
package plumlever.leader.context;
