/** Shared fixture for tests of the leader's components: a context with stubbed services. */
package plumlever.leader.context;
