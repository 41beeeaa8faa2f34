package plumlever.election;

import plumlever.concurrent.Loop;
import plumlever.settings.SchedulerParameters;
import plumlever.store.StateClient;

/**
 * What the parts of one election share.
 *
 * @param loop that all of them run on
 * @param store client on that loop
 * @param records what is known of who leads
 */
record ElectionContext(
    Loop loop, StateClient store, SchedulerParameters parameters, LeadershipRecords records) {}
