package plumlever.election;

import plumlever.concurrent.EventLoop;
import plumlever.settings.SchedulerParameters;
import plumlever.store.StateClient;

/**
 * The dependencies shared by the components of an election.
 *
 * @param loop runs all of the components
 * @param store the state service client on that loop
 * @param records the leadership records as last read or watched
 */
record ElectionContext(
    EventLoop loop, StateClient store, SchedulerParameters parameters, LeadershipRecords records) {}
