package plumlever.http;

/**
 * How far a job's tasks have got, for display to users; nothing is decided by it.
 *
 * @param done tasks that are finished
 * @param running tasks that are running
 */
public record TaskCounts(int done, int running) {}
