package clovermill.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** {@code ledger}: the commands for the usage ledger, beside a running director or without one. */
@Command(name = "ledger", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
        description = "Show, verify, export and reconcile the usage of tenants.",
        subcommands = {LedgerShowCommand.class, LedgerTailCommand.class, LedgerVerifyCommand.class,
            LedgerExportCommand.class, LedgerReconcileCommand.class, LedgerRebuildCommand.class,
            LedgerCompactCommand.class, LedgerCloseCommand.class})
final class LedgerCommand implements Callable<Integer> {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Without a subcommand: prints the usage. */
    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return CommandLine.ExitCode.USAGE;
    }
}
