package plumlever;

import plumlever.concurrent.Loop;
import plumlever.http.Caller;
import plumlever.metrics.Metrics;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.ProtocolPath;

/** Measures how long this controller works on the answers to its own calls, by kind of call. */
final class MeteredCaller implements Caller {
  private final Caller caller;
  private final Loop loop;
  private final Metrics metrics;
  private final PlatformConfiguration platform;

  MeteredCaller(Caller caller, Loop loop, Metrics metrics, PlatformConfiguration platform) {
    this.caller = caller;
    this.loop = loop;
    this.metrics = metrics;
    this.platform = platform;
  }

  @Override
  public void call(
      Endpoint to, String method, String path, byte[] body, long timeoutMicros, Answer answer) {
    String work = kindOf(to, path);
    caller.call(
        to,
        method,
        path,
        body,
        timeoutMicros,
        (status, data) -> {
          long since = loop.nowMicros();
          answer.take(status, data);
          metrics.recordWork(work, loop.nowMicros() - since);
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
