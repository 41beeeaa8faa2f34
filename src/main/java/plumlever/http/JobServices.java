package plumlever.http;

import plumlever.concurrent.Loop;
import plumlever.metrics.Metrics;
import plumlever.store.JobRecordCache;
import plumlever.store.JobStore;
import plumlever.store.StateClient;

/**
 * What users' requests read and change jobs with.
 *
 * @param loop runs all requests, and is their clock
 * @param store the state service
 * @param records what it says of jobs
 * @param layout keys and values of job records
 */
public record JobServices(
    Loop loop, StateClient store, JobRecordCache records, JobStore layout, Metrics metrics) {}
