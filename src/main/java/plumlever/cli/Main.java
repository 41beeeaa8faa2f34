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

/** The command line. */
public final class Main {
  private static final int BAD_SETTINGS = 2;
  private static final String NAME = "plumlever";

  /** Not in the help: the build uses it to make the class-data archive. */
  private static final String REHEARSE = "--rehearse-start";

  private Main() {}

  /** Runs the command line; the process ends with its exit code. */
  public static void main(String[] args) {
    Logging.configure(System.getenv("LOG_LEVEL"));
    int code;
    if (args.length == 1 && args[0].equals(REHEARSE)) {
      code = ArchiveTrainingRun.run();
    } else if (args.length > 0 && args[0].equals(DrillCommand.NAME)) {
      code = DrillCommand.run(args);
    } else {
      code = run(args);
    }
    if (code != Service.RUNNING) {
      System.exit(code);
    }
  }

  /** The exit code, or {@link Service#RUNNING} once a controller runs. */
  static int run(String[] args) {
    Options options =
        new Options()
            .addOption(
                Option.builder()
                    .longOpt("config")
                    .hasArg()
                    .argName("FILE")
                    .desc("settings handed over by the platform (TOML)")
                    .build())
            .addOption(
                Option.builder()
                    .longOpt("settings")
                    .hasArg()
                    .argName("FILE")
                    .desc("operators' own settings (YAML)")
                    .build())
            .addOption(
                Option.builder()
                    .longOpt("check")
                    .desc("check the settings, tell what would run, and end")
                    .build())
            .addOption(
                Option.builder("V").longOpt("version").desc("print the version and end").build())
            .addOption(Option.builder("h").longOpt("help").desc("print this help and end").build());
    CommandLine line;
    try {
      line = new DefaultParser(false).parse(options, args);
    } catch (ParseException e) {
      return wrong(e.getMessage());
    }
    if (line.hasOption("help")) {
      help(options);
      return 0;
    }
    if (line.hasOption("version")) {
      String text = Main.class.getPackage().getImplementationVersion();
      System.out.println(NAME + " " + (text == null ? "(development)" : text));
      return 0;
    }
    if (!line.getArgList().isEmpty()) {
      return wrong("Unexpected argument: " + line.getArgList().get(0));
    }
    if (!line.hasOption("config")) {
      return wrong("Missing required option: --config FILE");
    }
    PlatformConfiguration platform;
    OperatorSettings settings;
    try {
      platform = PlatformConfiguration.load(Path.of(line.getOptionValue("config")));
      settings =
          line.hasOption("settings")
              ? OperatorFile.load(Path.of(line.getOptionValue("settings")), platform)
              : OperatorSettings.defaults();
    } catch (SettingsException e) {
      System.err.println(NAME + ": " + e.getMessage());
      return BAD_SETTINGS;
    }
    if (line.hasOption("check")) {
      System.out.println(Check.describe(platform, settings));
      return 0;
    }
    return new Service(platform, settings).run();
  }

  private static int wrong(String what) {
    System.err.println(NAME + ": " + what + " (--help tells the options)");
    return BAD_SETTINGS;
  }

  private static void help(Options options) {
    PrintWriter out = new PrintWriter(System.out);
    new HelpFormatter()
        .printHelp(
            out,
            100,
            NAME + " --config FILE [--settings FILE] [--check]",
            "A cluster scheduler: places arrays of tasks on rented machines.",
            options,
            1,
            2,
            "Exit codes: 0 ended as asked, 1 could not start, 2 wrong arguments or settings.\n"
                + "LOG_LEVEL (error, info, debug) sets how much is logged to standard error.");
    out.flush();
  }
}
