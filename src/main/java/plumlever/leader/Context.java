package plumlever.leader;

import plumlever.cloud.CloudClient;
import plumlever.cloud.PriceBook;
import plumlever.concurrent.Loop;
import plumlever.election.Office;
import plumlever.http.Caller;
import plumlever.metrics.Metrics;
import plumlever.settings.Platform;
import plumlever.settings.Tunables;
import plumlever.store.JobStore;
import plumlever.store.StateClient;

/** What a leader works with. */
public record Context(Loop loop, Platform platform, Tunables tunables, Office office, StateClient store, JobStore layout,
        CloudClient cloud, PriceBook prices, Caller caller, Metrics metrics) {

    boolean moneyMatters() {
        return platform.moneyMatters(tunables.rentMicros());
    }
}
