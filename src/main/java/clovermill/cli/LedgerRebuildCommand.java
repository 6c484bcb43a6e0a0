package clovermill.cli;

import clovermill.ledger.totals.TotalsStore;
import picocli.CommandLine.Command;

/** {@code ledger rebuild}: rebuilds the totals store from the log and compares the totals. */
@Command(name = "rebuild", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
        description = "Rebuild the totals store from the log; exit status 1 if the totals differ.")
final class LedgerRebuildCommand extends LedgerFolderCommand {

    @Override
    public Integer call() throws Exception {
        TotalsStore.Rebuilt rebuilt;
        try (Output.Progress progress = Output.progress("rebuilding")) {
            rebuilt = TotalsStore.rebuild(folder(), progress);
        }
        boolean same = rebuilt.after().equals(rebuilt.before());
        if (json()) {
            Output.json(out(), rebuilt);
        } else {
            out().println(rebuilt.entries() + " entries, digest " + rebuilt.after() + (rebuilt.before() == null
                    ? "; there were no totals to compare with" : same ? ", the same as before"
                    : ", DIFFERENT FROM BEFORE: " + rebuilt.before()));
        }
        return same || rebuilt.before() == null ? 0 : 1;
    }
}
