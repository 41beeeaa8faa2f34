/**
 * One controller process, without its sockets: puts the parts together that the other packages own,
 * starts and ends them, and begins and ends this controller's terms of leadership. It also decides
 * whether users are better off with another controller, and what its peers are told.
 *
 * <p>It must know nothing of how jobs, machines and records are handled; a term's work belongs to
 * {@code leader}, answers belong to {@code http}.
 */
package plumlever;
