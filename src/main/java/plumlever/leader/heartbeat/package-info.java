/**
 * What workers' heartbeats prove, how they are answered, and when their leases may be renewed, here
 * or by delegation. It decides nothing about placement.
 */
package plumlever.leader.heartbeat;
