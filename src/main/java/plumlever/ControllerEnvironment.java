package plumlever;

import plumlever.concurrent.Loop;
import plumlever.http.Caller;
import plumlever.metrics.Logs;
import plumlever.settings.OperatorSettings;
import plumlever.settings.PlatformConfiguration;

/**
 * What a controller is given from outside.
 *
 * @param loop owns all decision state
 * @param caller sends the requests of what runs on {@code loop}
 * @param electionLoop what leadership runs on, so that nothing on {@code loop} delays it
 * @param electionCaller sends the requests of what runs on {@code electionLoop}
 * @param electionSeed for the random pauses between candidacies
 */
record ControllerEnvironment(
    Loop loop,
    Caller caller,
    Loop electionLoop,
    Caller electionCaller,
    PlatformConfiguration platform,
    OperatorSettings settings,
    long electionSeed,
    Logs logs) {}
