/**
 * The context that the components of a leader share during one term: the services that they call
 * and their view of a pool. The package holds no state and must not depend on any of the
 * components.
 */
package plumlever.leader.context;
