package plumlever.http;

import plumlever.concurrent.EventLoop;
import plumlever.metrics.Metrics;
import plumlever.store.JobRecordCache;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;

/**
 * The services with which user requests read and change jobs.
 *
 * @param loop the event loop that handles all requests and provides the current time
 * @param store the client of the state service
 * @param records cache of the job records in the state service
 * @param recordLayout keys and values of the job records
 */
public record JobServices(
    EventLoop loop,
    StateClient store,
    JobRecordCache records,
    RecordLayout recordLayout,
    Metrics metrics) {}
