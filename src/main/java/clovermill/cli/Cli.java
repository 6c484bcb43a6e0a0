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

/** All commands but for the platform's two words. */
@Command(name = "clovermill", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
        description = "A traffic director before a two-tier cache.",
        subcommands = {Cli.Serve.class, Cli.AdapterCommand.class, Cli.Rehearse.class, Cli.Check.class,
            LedgerCommand.class, FleetSimCommand.class},
        footer = {"", "Exit status: 0 done, 1 a fault or a check that does not hold, 2 wrong usage."})
public final class Cli implements Callable<Integer> {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs one command; returns the exit status. */
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

    /** One line for a person. */
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

    /** The version that stands in the jar. */
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
        @Option(names = "--settings", paramLabel = "FILE", description = "Settings of our own: logs, ledger.")
        private String settings;

        @Override
        public Integer call() {
            return Main.serve(settings);
        }
    }

    @Command(name = "adapter", mixinStandardHelpOptions = true, versionProvider = Version.class,
            description = "Host routers on the simulator's wire, on standard input and output.")
    static final class AdapterCommand implements Callable<Integer> {
        @Override
        public Integer call() {
            return Main.adapter();
        }
    }

    @Command(name = "rehearse", mixinStandardHelpOptions = true, versionProvider = Version.class,
            description = "Part of the build: serve made-up requests, so that classes can be archived.")
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
            description = "Check a settings file, or a director's configuration, and change nothing.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "The file.")
        private String file;

        @Option(names = "--config", paramLabel = "CONFIG",
                description = "A director's configuration with the classes that the settings name.")
        private String config;

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() throws SettingsFile.Fault, StartupException {
            Service.check(file, config);
            spec.commandLine().getOut().println(file + ": good");
            return 0;
        }
    }
}
