package plumlever.warmup;

import java.util.List;
import plumlever.concurrent.EventLoop;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.ProtocolPath;

/**
 * The in-memory state service, cloud and machines that a controller uses during the warm-up. They
 * use the message formats of the protocols but enforce few of the rules, because only one
 * controller uses them and nothing depends on the results.
 */
public final class WarmUpServices {
  /** Receives the response to one request. */
  public interface Reply {
    void send(int status, String body);
  }

  private static final String MACHINE_TYPES =
      """
      {"flavors":[
      {"sku":"small","cores":4,"accelerators":0,"memory_gb":16,"cache_gb":8,"fetch_gb_per_s":1.0,"hourly":0.2,"low_price":0.06,"startup_s":12,"sites":["a","b"]},
      {"sku":"large","cores":16,"accelerators":0,"memory_gb":64,"cache_gb":8,"fetch_gb_per_s":0.5,"hourly":0.9,"low_price":0.3,"startup_s":8,"sites":["a","b"]}]}
      """;

  private static final String NO_CAPACITY = "{\"error\":\"no capacity\"}";
  private static final String EMPTY = "{}";

  private final InMemoryStateService state;
  private final InMemoryMachines machines;

  /**
   * @param endpoint endpoint of the machines for direct calls; a format specifier in it is replaced
   *     by the machine's number
   */
  public WarmUpServices(EventLoop loop, int machineCount, String endpoint) {
    this.state = new InMemoryStateService(loop);
    this.machines = new InMemoryMachines(loop, machineCount, endpoint);
  }

  /** Returns the ids of all machines. */
  public List<String> machines() {
    return machines.ids();
  }

  /** Returns the id of the machine with the given endpoint. */
  String machineAt(String endpoint) {
    return machines.machineAt(endpoint);
  }

  /** Returns the machine's next heartbeat. */
  public byte[] heartbeat(String machine) {
    return machines.heartbeat(machine);
  }

  /**
   * Executes the commands from a heartbeat response, or from a direct call to the worker, on the
   * machine.
   */
  public void executeCommands(String machine, String response) {
    machines.executeCommands(machine, response);
  }

  /** Handles a request to the state service or the cloud. */
  public void handle(String method, String path, byte[] body, Reply reply) {
    try {
      if (!state.handle(method, path, body, reply)) {
        handleCloud(path, reply);
      }
    } catch (InvalidMessageException e) {
      reply.send(HttpStatus.BAD_REQUEST, EMPTY);
    }
  }

  private void handleCloud(String path, Reply reply) {
    if (path.equals(ProtocolPath.MACHINE_TYPES)) {
      reply.send(HttpStatus.OK, MACHINE_TYPES);
    } else if (path.startsWith(ProtocolPath.MACHINES + "?")) {
      reply.send(HttpStatus.OK, machines.listing());
    } else if (path.equals(ProtocolPath.MACHINES)) {
      reply.send(HttpStatus.SERVICE_UNAVAILABLE, NO_CAPACITY);
    } else {
      reply.send(HttpStatus.OK, EMPTY);
    }
  }
}
