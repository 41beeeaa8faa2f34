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

/** {@code plumlever drill NAME}: plays a drill and tells whether it passed. */
final class DrillCommand {
  /** The first argument. */
  static final String NAME = "drill";

  private static final int PASSED = 0;
  private static final int FAILED = 1;
  private static final int WRONG = 2;
  private static final int DEFAULT_SECONDS = 600;
  private static final int DEFAULT_MACHINES = 24;
  private static final int ASKED_TRANSFERS = 12;
  private static final int MOST_SEEDS = 1_000_000;
  private static final String USAGE =
      "plumlever drill sharing [--seconds N] [--machines N] [--seed N] [--jobs FILE] [--calm]";

  private DrillCommand() {}

  /** The exit code: 0 passed, 1 failed, 2 wrong arguments. */
  static int run(String[] arguments) {
    Options options =
        new Options()
            .addOption(Option.builder().longOpt("seconds").hasArg().build())
            .addOption(Option.builder().longOpt("machines").hasArg().build())
            .addOption(Option.builder().longOpt("seed").hasArg().build())
            .addOption(Option.builder().longOpt("jobs").hasArg().build())
            .addOption(Option.builder().longOpt("calm").build());
    try {
      CommandLine line = new DefaultParser(false).parse(options, arguments);
      if (!line.getArgList().equals(List.of(NAME, "sharing"))) {
        return wrong("no such drill");
      }
      int seconds = Integer.parseInt(line.getOptionValue("seconds", "" + DEFAULT_SECONDS));
      int machines = Integer.parseInt(line.getOptionValue("machines", "" + DEFAULT_MACHINES));
      long seed =
          line.hasOption("seed")
              ? Long.parseLong(line.getOptionValue("seed"))
              : new SplittableRandom().nextInt(MOST_SEEDS);
      if (seconds < 1 || machines < 1) {
        return wrong("seconds and machines must be above 0");
      }
      List<SharingDrill.JobShapeFile> shapes =
          line.hasOption("jobs")
              ? List.of(new SharingDrill.JobShapeFile(Path.of(line.getOptionValue("jobs"))))
              : List.of();
      int asked = seconds >= DEFAULT_SECONDS ? ASKED_TRANSFERS : 1;
      return play(
          new SharingDrill.Plan(seconds, machines, seed, shapes, !line.hasOption("calm"), asked));
    } catch (ParseException | NumberFormatException e) {
      return wrong(e.getMessage());
    }
  }

  private static int play(SharingDrill.Plan plan) {
    try {
      SharingDrill.Outcome outcome = SharingDrill.run(plan);
      outcome.lines().forEach(System.out::println);
      System.out.println(outcome.passed() ? "PASS" : "FAIL");
      return outcome.passed() ? PASSED : FAILED;
    } catch (IOException | InvalidMessageException e) {
      return wrong(e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return FAILED;
    }
  }

  private static int wrong(String reason) {
    System.err.println("plumlever: " + reason + " (" + USAGE + ")");
    return WRONG;
  }
}
