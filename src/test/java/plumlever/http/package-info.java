/**
 * Unit tests of the HTTP server, client and request handlers, without I/O beyond the loopback
 * interface.
 */
package plumlever.http;
