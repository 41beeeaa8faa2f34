package plumlever.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import plumlever.drill.SharingDrill;
import plumlever.wire.InvalidMessageException;

/** The command {@code plumlever drill NAME}: runs a drill and prints whether the drill passed. */
final class DrillCommand {
  /** The first command-line argument, which selects this command. */
  static final String NAME = "drill";

  private static final int DEFAULT_SECONDS = 600;
  private static final int DEFAULT_MACHINES = 24;

  /**
   * The number of machine transfers between shards that a drill of at least the default duration
   * must reach to pass.
   */
  private static final int MIN_TRANSFERS = 12;

  private static final int MAX_RANDOM_SEED = 1_000_000;
  private static final String SHARING = "sharing";
  private static final String SECONDS = "seconds";
  private static final String MACHINES = "machines";
  private static final String SEED = "seed";
  private static final String JOBS = "jobs";
  private static final String CALM = "calm";
  private static final String USAGE =
      "plumlever drill sharing [--seconds N] [--machines N] [--seed N] [--jobs FILE] [--calm]";

  private DrillCommand() {}

  /** Runs the drill and returns the exit code. */
  static int run(String[] arguments) {
    try {
      CommandLine line = new DefaultParser(false).parse(options(), arguments);
      if (!line.getArgList().equals(List.of(NAME, SHARING))) {
        return usageError("unknown drill or unexpected argument");
      }
      int seconds = Integer.parseInt(line.getOptionValue(SECONDS, "" + DEFAULT_SECONDS));
      int machines = Integer.parseInt(line.getOptionValue(MACHINES, "" + DEFAULT_MACHINES));
      long seed =
          line.hasOption(SEED)
              ? Long.parseLong(line.getOptionValue(SEED))
              : new SplittableRandom().nextInt(MAX_RANDOM_SEED);
      if (seconds < 1 || machines < 1) {
        return usageError("--seconds and --machines must be at least 1");
      }
      List<SharingDrill.JobShapeFile> shapes =
          line.hasOption(JOBS)
              ? List.of(new SharingDrill.JobShapeFile(Path.of(line.getOptionValue(JOBS))))
              : List.of();
      int minTransfers = seconds >= DEFAULT_SECONDS ? MIN_TRANSFERS : 1;
      return runPlan(
          new SharingDrill.Plan(
              seconds, machines, seed, shapes, !line.hasOption(CALM), minTransfers));
    } catch (ParseException | NumberFormatException e) {
      return usageError(e.getMessage());
    }
  }

  private static Options options() {
    return new Options()
        .addOption(Option.builder().longOpt(SECONDS).hasArg().build())
        .addOption(Option.builder().longOpt(MACHINES).hasArg().build())
        .addOption(Option.builder().longOpt(SEED).hasArg().build())
        .addOption(Option.builder().longOpt(JOBS).hasArg().build())
        .addOption(Option.builder().longOpt(CALM).build());
  }

  private static int runPlan(SharingDrill.Plan plan) {
    try {
      SharingDrill.Outcome outcome = SharingDrill.run(plan);
      outcome.lines().forEach(System.out::println);
      System.out.println(outcome.passed() ? "PASS" : "FAIL");
      return outcome.passed() ? ExitCode.OK : ExitCode.FAILED;
    } catch (IOException | InvalidMessageException e) {
      return usageError(e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    }
  }

  private static int usageError(String reason) {
    System.err.println("plumlever: " + reason + " (" + USAGE + ")");
    return ExitCode.USAGE_ERROR;
  }
}
