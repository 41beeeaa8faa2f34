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
 * @param httpClient sends the requests of components on {@code loop}
 * @param electionLoop the election loop, which runs leader election, so that work on {@code loop}
 *     does not delay elections or lease renewals
 * @param electionHttpClient sends the requests of components on {@code electionLoop}
 * @param electionSeed seeds the random pauses between election attempts
 */
record ControllerEnvironment(
    EventLoop loop,
    HttpClient httpClient,
    EventLoop electionLoop,
    HttpClient electionHttpClient,
    PlatformConfiguration platform,
    OperatorSettings settings,
    long electionSeed,
    LoggerProvider loggerProvider) {}
