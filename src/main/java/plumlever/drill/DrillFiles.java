package plumlever.drill;

import java.util.List;
import java.util.stream.Collectors;

/** Generates the settings files of a drill's controllers. */
final class DrillFiles {
  private static final double MICROS_PER_S = 1e6;

  /**
   * The floors of all shards (the number of machines that a shard keeps in any case) add up to at
   * most the pool's number of machines divided by this.
   */
  private static final int FLOOR_DIVISOR = 4;

  private static final String PLATFORM =
      """
      label = "%s"
      area = "a"
      bind = "%s"
      back = "%s"
      %s
      [outside]
      cloud = "127.0.0.1:%d"
      state = "127.0.0.1:%d"
      [deployment]
      count = %d
      %s
      [[deployment.objectives]]
      kind = "wait"
      class = "regrid"
      within_s = 5.0
      share = 0.9
      [deployment.workers]
      report_s = %s
      lease_s = %s
      cancel_s = 60.0
      [deployment.state]
      rps = 1000.0
      write_rps = 200.0
      value_kb = 16.0
      txn_ops = 12
      [deployment.cloud]
      rps = 20.0
      list_lag_s = 1.0
      [deployment.quota]
      fd_limit = 4000
      """;

  private DrillFiles() {}

  static String platform(
      ControllerProcess controller,
      List<ControllerProcess> all,
      int statePort,
      int cloudPort,
      List<JobShape> shapes,
      long heartbeatMicros,
      long leaseMicros) {
    String seeds =
        all.stream()
            .filter(other -> other != controller)
            .map(
                other ->
                    "[[seeds]]\nlabel = \"%s\"\narea = \"a\"\nendpoint = \"%s\"\n"
                        .formatted(other.label(), other.peerEndpoint()))
            .collect(Collectors.joining());
    String teams =
        shapes.stream()
            .map(JobShape::team)
            .distinct()
            .map(
                team ->
                    """
                    [[deployment.teams]]
                    name = "%s"
                    cpus = 30.0
                    cpus_max = 90.0
                    gpus = 0.0
                    gpus_max = 0.0
                    """
                        .formatted(team))
            .collect(Collectors.joining());
    return PLATFORM.formatted(
        controller.label(),
        controller.userEndpoint(),
        controller.peerEndpoint(),
        seeds,
        cloudPort,
        statePort,
        all.size(),
        teams,
        heartbeatMicros / MICROS_PER_S,
        leaseMicros / MICROS_PER_S);
  }

  /**
   * Returns a sharing file with one shard per controller. The long idle timeout keeps the shards
   * from returning idle machines to the cloud.
   */
  static String sharing(List<String> shards, List<ControllerProcess> controllers, int machines) {
    int floor = machines / (FLOOR_DIVISOR * shards.size());
    StringBuilder text =
        new StringBuilder("idle_speed_s: 1000000\nsharing:\n  machines: " + machines + "\n");
    text.append("  cells:\n");
    for (int i = 0; i < shards.size(); i++) {
      text.append("    - name: ").append(shards.get(i)).append('\n');
      text.append("      controllers: [").append(controllers.get(i).label()).append("]\n");
      text.append("      floor: ").append(floor).append('\n');
    }
    return text.toString();
  }
}
