/** What tests of a leader's parts share: a context whose services are set by hand. */
package plumlever.leader.context;
