package plumlever.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Option;
import plumlever.settings.OperatorFile;
import plumlever.settings.Platform;
import plumlever.settings.SettingsException;
import plumlever.settings.Tunables;

/** The command line. */
@Command(name = "plumlever", mixinStandardHelpOptions = true, versionProvider = Main.Version.class,
        description = "A cluster scheduler: places arrays of tasks on rented machines.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:ended as asked", "1:could not start or go on", "2:wrong arguments or settings"},
        footer = "%nLOG_LEVEL (error, info, debug) sets how much is logged to standard error.")
public final class Main implements Callable<Integer> {
    private static final int BAD_SETTINGS = 2;

    /** Takes the version from the jar. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String v = Main.class.getPackage().getImplementationVersion();
            return new String[] {"plumlever " + (v == null ? "(development)" : v)};
        }
    }

    @Option(names = "--config", paramLabel = "FILE", description = "settings handed over by the platform (TOML)")
    private Path config;

    @Option(names = "--settings", paramLabel = "FILE", description = "operators' own settings (YAML)")
    private Path settings;

    @Option(names = "--check", description = "check the settings, tell what would run, and end")
    private boolean check;

    @Option(names = "--rehearse-start", hidden = true, description = "start and end once, for the class-data archive")
    private boolean rehearseStart;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    public static void main(String[] args) {
        Logging.configure(System.getenv("LOG_LEVEL"));
        int code = new CommandLine(new Main()).execute(args);
        if (code != Service.RUNNING) {
            System.exit(code);
        }
    }

    @Override
    public Integer call() {
        if (rehearseStart) {
            return StartRehearsal.run();
        }
        if (config == null) {
            throw new CommandLine.ParameterException(spec.commandLine(), "Missing required option: '--config=FILE'");
        }
        Platform platform;
        Tunables tunables;
        try {
            platform = Platform.load(config);
            tunables = settings == null ? Tunables.defaults() : OperatorFile.load(settings);
        } catch (SettingsException e) {
            System.err.println("plumlever: " + e.getMessage());
            return BAD_SETTINGS;
        }
        if (check) {
            System.out.println(Check.describe(platform, tunables));
            return 0;
        }
        return new Service(platform, tunables).run();
    }
}
