package plumlever.cli;

import java.util.stream.Collectors;
import plumlever.settings.Platform;
import plumlever.settings.Tunables;

/** Tells what would run with the given settings. */
final class Check {
  private Check() {}

  static String describe(Platform platform, Tunables tunables) {
    StringBuilder stringBuilder = new StringBuilder();
    stringBuilder
        .append(platform.label())
        .append(" in ")
        .append(platform.area())
        .append(" would serve users and workers at ")
        .append(platform.bind())
        .append(" and controllers at ")
        .append(platform.back())
        .append('\n');
    stringBuilder
        .append("other controllers: ")
        .append(
            platform.seeds().stream()
                .map(x -> x.label() + " at " + x.endpoint())
                .collect(Collectors.joining(", ", "", "")))
        .append('\n');
    stringBuilder
        .append("state service at ")
        .append(platform.state())
        .append(", cloud at ")
        .append(platform.cloud())
        .append('\n');
    Platform.StateLimits stateLimits = platform.stateLimits();
    stringBuilder
        .append("writes to the state service, within the limits now and next: values of ")
        .append(stateLimits.valueBytes())
        .append(" bytes (now ")
        .append(stateLimits.formerValueBytes())
        .append("), ")
        .append(stateLimits.txnOps())
        .append(" changes a transaction, ")
        .append(stateLimits.writeRps())
        .append(" changes and ")
        .append(stateLimits.rps())
        .append(" requests a second\n");
    stringBuilder
        .append("teams: ")
        .append(
            platform.teams().stream().map(Platform.Team::name).collect(Collectors.joining(", ")))
        .append('\n');
    stringBuilder
        .append(
            platform.moneyMatters(tunables.rentMicros())
                ? "money is saved where the aims leave time: idle machines are returned after "
                    + tunables.idleMoneyMicros() / 1e6
                    + " s"
                : "machines stand by, since an aim leaves no time to rent one: idle machines are"
                    + " returned after "
                    + tunables.idleSpeedMicros() / 1e6
                    + " s")
        .append('\n');
    stringBuilder
        .append("padding ")
        .append(tunables.paddingShare())
        .append(", tie band ")
        .append(tunables.tieShare())
        .append(", start target ")
        .append(tunables.startTargetMicros() / 1e6)
        .append(" s");
    return stringBuilder.toString();
  }
}
