package plumlever.election;

import plumlever.concurrent.EventLoop;
import plumlever.settings.SchedulerParameters;
import plumlever.store.StateClient;

/**
 * The objects that all components of leader election use.
 *
 * @param loop runs all of the components
 * @param store the state service client on that loop
 * @param records the leadership records as last read or watched
 */
record ElectionContext(
    EventLoop loop, StateClient store, SchedulerParameters parameters, LeadershipRecords records) {}
