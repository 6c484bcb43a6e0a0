package clovermill.cli;

import clovermill.config.settings.SettingsFile;
import clovermill.director.Service;
import clovermill.director.StartupException;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine;

/** The command line with all commands; {@link Main} itself handles the platform's two invocations. */
@Command(name = "clovermill", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
        description = "A traffic director in front of a two-tier cache.",
        subcommands = {Cli.Serve.class, Cli.AdapterCommand.class, Cli.Rehearse.class, Cli.Check.class,
            LedgerCommand.class, FleetSimCommand.class},
        footer = {"", "Exit status: 0 success, 1 failure or failed check, 2 invalid usage."})
public final class Cli implements Callable<Integer> {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs one command and returns its exit status. */
    public static int run(String... args) {
        return line().execute(args);
    }

    static CommandLine line() {
        return new CommandLine(new Cli()).setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler((failure, line, parsed) -> {
                    line.getErr().println("clovermill: " + message(failure));
                    return CommandLine.ExitCode.SOFTWARE;
                });
    }

    /** Returns a one-line message for the user. */
    private static String message(Exception failure) {
        return failure.getMessage() == null ? failure.toString()
                : failure instanceof NoSuchFileException missing
                        ? "there is no " + missing.getFile()
                : failure.getMessage();
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return CommandLine.ExitCode.USAGE;
    }

    /** Provides the version in the jar's manifest. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Cli.class.getPackage().getImplementationVersion();
            return new String[] {"clovermill " + (version == null ? "(not from a jar)" : version)};
        }
    }

    @Command(name = "serve", mixinStandardHelpOptions = true, versionProvider = Version.class,
            description = "Run one director; BALANCER_CONFIG names its configuration.")
    static final class Serve implements Callable<Integer> {
        @Option(names = "--settings", paramLabel = "FILE", description = "Settings of logging and optional subsystems.")
        private String settings;

        @Override
        public Integer call() {
            return Main.serve(settings);
        }
    }

    @Command(name = "adapter", mixinStandardHelpOptions = true, versionProvider = Version.class,
            description = "Run routers for the simulator, over standard input and output.")
    static final class AdapterCommand implements Callable<Integer> {
        @Override
        public Integer call() {
            return Main.adapter();
        }
    }

    @Command(name = "rehearse", mixinStandardHelpOptions = true, versionProvider = Version.class,
            description = "Part of the build: serve generated requests to archive the loaded classes.")
    static final class Rehearse implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "A director's configuration.")
        private String file;

        @Override
        public Integer call() throws IOException, StartupException {
            Service.runForClassDataArchive(file);
            return 0;
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true, versionProvider = Version.class,
            description = "Validate a settings file or a director's configuration.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "The file.")
        private String file;

        @Option(names = "--config", paramLabel = "CONFIG",
                description = "A director's configuration with the request classes that the settings name.")
        private String config;

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() throws SettingsFile.InvalidSettingsException, StartupException {
            Service.check(file, config);
            spec.commandLine().getOut().println(file + ": good");
            return 0;
        }
    }
}
