/**
 * One controller process without its sockets. This package creates, connects, starts and closes the
 * components of the other packages, and starts and ends this controller's terms of leadership. It
 * also decides whether users should use another controller, and what status this controller reports
 * to its peers.
 *
 * <p>It must not contain any handling of jobs, machines or records. The work of a term belongs to
 * {@code leader}; responses to requests belong to {@code http}.
 */
package plumlever;
