package plumlever;

import plumlever.concurrent.EventLoop;
import plumlever.http.HttpClient;
import plumlever.metrics.LoggerProvider;
import plumlever.settings.OperatorSettings;
import plumlever.settings.PlatformConfiguration;

/**
 * The external dependencies and settings of a controller.
 *
 * @param loop the controller loop, which owns all state except that of leader election
 * @param caller sends the requests of components on {@code loop}
 * @param electionLoop the election loop, which runs leader election, so that work on {@code loop}
 *     does not delay elections or lease renewals
 * @param electionCaller sends the requests of components on {@code electionLoop}
 * @param electionSeed seeds the random pauses between election attempts
 */
record ControllerEnvironment(
    EventLoop loop,
    HttpClient caller,
    EventLoop electionLoop,
    HttpClient electionCaller,
    PlatformConfiguration platform,
    OperatorSettings settings,
    long electionSeed,
    LoggerProvider logs) {}
