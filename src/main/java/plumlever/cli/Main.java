package plumlever.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import plumlever.settings.OperatorFile;
import plumlever.settings.OperatorSettings;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SettingsException;

/** Entry point: parses the command line and runs a controller, a check or a drill. */
public final class Main {
  private static final String NAME = "plumlever";

  /**
   * The command-line option with which the build creates the class-data archive; not shown in the
   * help.
   */
  private static final String TRAINING_RUN = "--rehearse-start";

  private static final String CONFIG = "config";
  private static final String SETTINGS = "settings";
  private static final String CHECK = "check";
  private static final String VERSION = "version";
  private static final String HELP = "help";

  private static final int HELP_WIDTH = 100;
  private static final int HELP_LEFT_PADDING = 1;
  private static final int HELP_DESCRIPTION_PADDING = 2;

  private Main() {}

  /** Runs the command; exits the process with the exit code unless a controller is running. */
  public static void main(String[] args) {
    Logging.configure(System.getenv("LOG_LEVEL"));
    int exitCode;
    if (args.length == 1 && args[0].equals(TRAINING_RUN)) {
      exitCode = ArchiveTrainingRun.run();
    } else if (args.length > 0 && args[0].equals(DrillCommand.NAME)) {
      exitCode = DrillCommand.run(args);
    } else {
      exitCode = run(args);
    }
    if (exitCode != ExitCode.RUNNING) {
      System.exit(exitCode);
    }
  }

  /** Returns the exit code, or {@link ExitCode#RUNNING} if a controller was started. */
  static int run(String[] args) {
    Options options = options();
    CommandLine line;
    try {
      line = new DefaultParser(false).parse(options, args);
    } catch (ParseException e) {
      return usageError(e.getMessage());
    }
    if (line.hasOption(HELP)) {
      printHelp(options);
      return ExitCode.OK;
    }
    if (line.hasOption(VERSION)) {
      printVersion();
      return ExitCode.OK;
    }
    if (!line.getArgList().isEmpty()) {
      return usageError("Unexpected argument: " + line.getArgList().get(0));
    }
    if (!line.hasOption(CONFIG)) {
      return usageError("Missing required option: --config FILE");
    }
    return runWithSettings(line);
  }

  private static int runWithSettings(CommandLine line) {
    PlatformConfiguration platform;
    OperatorSettings settings;
    try {
      platform = PlatformConfiguration.load(Path.of(line.getOptionValue(CONFIG)));
      settings =
          line.hasOption(SETTINGS)
              ? OperatorFile.load(Path.of(line.getOptionValue(SETTINGS)), platform)
              : OperatorSettings.defaults();
    } catch (SettingsException e) {
      System.err.println(NAME + ": " + e.getMessage());
      return ExitCode.USAGE_ERROR;
    }
    if (line.hasOption(CHECK)) {
      System.out.println(Check.describe(platform, settings));
      return ExitCode.OK;
    }
    return new Service(platform, settings).run();
  }

  private static Options options() {
    return new Options()
        .addOption(
            Option.builder()
                .longOpt(CONFIG)
                .hasArg()
                .argName("FILE")
                .desc("settings provided by the platform (TOML)")
                .build())
        .addOption(
            Option.builder()
                .longOpt(SETTINGS)
                .hasArg()
                .argName("FILE")
                .desc("operators' settings (YAML)")
                .build())
        .addOption(
            Option.builder()
                .longOpt(CHECK)
                .desc("check the settings, print what would run, and exit")
                .build())
        .addOption(Option.builder("V").longOpt(VERSION).desc("print the version and exit").build())
        .addOption(Option.builder("h").longOpt(HELP).desc("print this help and exit").build());
  }

  private static int usageError(String reason) {
    System.err.println(NAME + ": " + reason + " (--help lists the options)");
    return ExitCode.USAGE_ERROR;
  }

  private static void printVersion() {
    String version = Main.class.getPackage().getImplementationVersion();
    System.out.println(NAME + " " + (version == null ? "(development)" : version));
  }

  private static void printHelp(Options options) {
    PrintWriter out = new PrintWriter(System.out);
    new HelpFormatter()
        .printHelp(
            out,
            HELP_WIDTH,
            NAME + " --config FILE [--settings FILE] [--check]",
            "A cluster scheduler: places arrays of tasks on rented machines.",
            options,
            HELP_LEFT_PADDING,
            HELP_DESCRIPTION_PADDING,
            "Exit codes: 0 success, 1 start or drill failed, 2 invalid arguments or settings.\n"
                + "LOG_LEVEL (error, info, debug) sets how much is logged to standard error.");
    out.flush();
  }
}
