package clovermill.cli;

import clovermill.ledger.books.TotalsStore;
import picocli.CommandLine.Command;

/** {@code ledger rebuild}: makes the books again from the log and compares them. */
@Command(name = "rebuild", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
        description = "Make the books again from the log; exit status 1 if they come out otherwise.")
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
                    ? "; there were no books to compare with" : same ? ", the same as before"
                    : ", BEFORE IT WAS " + rebuilt.before()));
        }
        return same || rebuilt.before() == null ? 0 : 1;
    }
}
