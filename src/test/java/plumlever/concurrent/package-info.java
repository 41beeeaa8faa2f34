/** Event loops for tests. */
package plumlever.concurrent;
