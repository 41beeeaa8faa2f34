package plumlever;

import plumlever.concurrent.EventLoop;
import plumlever.http.HttpClient;
import plumlever.metrics.Metrics;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.ProtocolPath;

/**
 * An HTTP client that adds the time spent on handling responses to the metrics, separately for each
 * kind of called service.
 */
record MeteredCaller(
    HttpClient httpClient, EventLoop loop, Metrics metrics, PlatformConfiguration platform)
    implements HttpClient {
  @Override
  public void call(
      Endpoint to,
      String method,
      String path,
      byte[] body,
      long timeoutMicros,
      ResponseHandler handler) {
    String kind = kindOf(to, path);
    httpClient.call(
        to,
        method,
        path,
        body,
        timeoutMicros,
        (status, data) -> {
          long startedMicros = loop.nowMicros();
          handler.handle(status, data);
          metrics.recordWork(kind, loop.nowMicros() - startedMicros);
        });
  }

  private String kindOf(Endpoint to, String path) {
    if (to.equals(platform.state())) {
      return "state";
    }
    if (to.equals(platform.cloud())) {
      return "cloud";
    }
    return path.equals(ProtocolPath.COMMANDS) ? "commands" : "peers";
  }
}
