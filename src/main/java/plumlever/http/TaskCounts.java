package plumlever.http;

/**
 * The progress of a job's tasks. The counts are only displayed to users; no decision depends on
 * them.
 *
 * @param done number of completed tasks
 * @param running number of running tasks
 */
public record TaskCounts(int done, int running) {}
