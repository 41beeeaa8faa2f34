/**
 * The controller: one controller process, put together from the parts that the other packages own.
 *
 * <p>It decides nothing about jobs itself.
 */
package plumlever;
