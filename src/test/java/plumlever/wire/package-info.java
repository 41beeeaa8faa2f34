/** Tests of the message codecs; they do no I/O. */
package plumlever.wire;
