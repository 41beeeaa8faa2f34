package plumlever.cli;

import java.util.stream.Collectors;
import plumlever.settings.Platform;
import plumlever.settings.Tunables;

/** Tells what would run with the given settings. */
final class Check {
  private Check() {}

  static String describe(Platform p, Tunables t) {
    StringBuilder s = new StringBuilder();
    s.append(p.label())
        .append(" in ")
        .append(p.area())
        .append(" would serve users and workers at ")
        .append(p.bind())
        .append(" and controllers at ")
        .append(p.back())
        .append('\n');
    s.append("other controllers: ")
        .append(
            p.seeds().stream()
                .map(x -> x.label() + " at " + x.endpoint())
                .collect(Collectors.joining(", ", "", "")))
        .append('\n');
    s.append("state service at ")
        .append(p.state())
        .append(", cloud at ")
        .append(p.cloud())
        .append('\n');
    Platform.StateLimits l = p.stateLimits();
    s.append("writes to the state service, within the limits now and next: values of ")
        .append(l.valueBytes())
        .append(" bytes (now ")
        .append(l.formerValueBytes())
        .append("), ")
        .append(l.txnOps())
        .append(" changes a transaction, ")
        .append(l.writeRps())
        .append(" changes and ")
        .append(l.rps())
        .append(" requests a second\n");
    s.append("teams: ")
        .append(p.teams().stream().map(Platform.Team::name).collect(Collectors.joining(", ")))
        .append('\n');
    s.append(
            p.moneyMatters(t.rentMicros())
                ? "money is saved where the aims leave time: idle machines are returned after "
                    + t.idleMoneyMicros() / 1e6
                    + " s"
                : "machines stand by, since an aim leaves no time to rent one: idle machines are"
                    + " returned after "
                    + t.idleSpeedMicros() / 1e6
                    + " s")
        .append('\n');
    s.append("padding ")
        .append(t.paddingShare())
        .append(", tie band ")
        .append(t.tieShare())
        .append(", start target ")
        .append(t.startTargetMicros() / 1e6)
        .append(" s");
    return s.toString();
  }
}
