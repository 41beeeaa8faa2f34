package plumlever.cli;

import java.util.stream.Collectors;
import plumlever.http.Server;
import plumlever.settings.OperatorSettings;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;
import plumlever.settings.SharingSettings;

/** Builds the report of {@code --check}: what would run with the given settings. */
final class Check {
  private static final double MICROS_PER_SECOND = 1e6;

  private Check() {}

  /**
   * Returns the report on these settings as several lines, without a line break after the last one.
   */
  static String describe(PlatformConfiguration platform, OperatorSettings settings) {
    SchedulerParameters parameters = settings.parameters();
    return String.join(
        "\n",
        addresses(platform),
        settings.sharing().map(Check::shards).orElse("one cell, which owns all machines"),
        connections(platform),
        stateLimits(platform.stateLimits()),
        "teams: "
            + platform.teams().stream()
                .map(PlatformConfiguration.Team::name)
                .collect(Collectors.joining(", ")),
        idleMachinePolicy(platform, parameters),
        placementParameters(parameters));
  }

  private static String addresses(PlatformConfiguration platform) {
    String others =
        platform.peers().stream()
            .map(seed -> seed.label() + " at " + seed.endpoint())
            .collect(Collectors.joining(", "));
    return """
    %s in %s would serve users and workers at %s and controllers at %s
    other controllers: %s
    state service at %s, cloud at %s\
    """
        .formatted(
            platform.label(),
            platform.zone(),
            platform.bind(),
            platform.peerBind(),
            others,
            platform.state(),
            platform.cloud());
  }

  private static String shards(SharingSettings sharing) {
    return "cell "
        + sharing.ownShard().name()
        + " of a pool of "
        + sharing.maxMachines()
        + " machines, sharing table digest "
        + sharing.digest()
        + ": "
        + sharing.shards().stream()
            .map(
                shard ->
                    shard.name()
                        + " (floor "
                        + shard.minMachines()
                        + ", weight "
                        + shard.weight()
                        + ", keys under "
                        + (shard.prefix().isEmpty() ? "the root" : shard.prefix())
                        + ")")
            .collect(Collectors.joining(", "));
  }

  private static String connections(PlatformConfiguration platform) {
    int shared = Service.sharedConnections(platform);
    return "connections: "
        + shared
        + " for users and workers; above "
        + (int) (shared * Server.NEAR_CONNECTION_LIMIT_FRACTION)
        + ", a worker's connection is closed after each heartbeat";
  }

  private static String stateLimits(PlatformConfiguration.StateLimits limits) {
    return "state service limits, the smaller of current and announced: values of "
        + limits.valueBytes()
        + " bytes (current limit "
        + limits.currentValueBytes()
        + "), "
        + limits.transactionOps()
        + " operations per transaction, "
        + limits.writeRps()
        + " operations and "
        + limits.rps()
        + " requests per second";
  }

  private static String idleMachinePolicy(
      PlatformConfiguration platform, SchedulerParameters parameters) {
    return platform.costMatters(parameters.provisioningMicros())
        ? "cost is minimized where the objectives leave time: idle machines are returned after "
            + seconds(parameters.idleTimeoutForCostMicros())
        : "idle machines are kept longer, because an objective leaves no time to rent one: they are"
            + " returned after "
            + seconds(parameters.idleTimeoutForSpeedMicros());
  }

  private static String placementParameters(SchedulerParameters parameters) {
    return "run time padding "
        + parameters.runTimePadding()
        + ", tie tolerance "
        + parameters.tieTolerance()
        + ", start target "
        + seconds(parameters.startTargetMicros());
  }

  private static String seconds(long micros) {
    return micros / MICROS_PER_SECOND + " s";
  }
}
