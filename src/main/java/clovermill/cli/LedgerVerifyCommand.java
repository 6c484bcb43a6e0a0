package clovermill.cli;

import clovermill.ledger.totals.Verification;
import picocli.CommandLine.Command;

/** {@code ledger verify}: reads the whole log and reports damage and missing records. */
@Command(name = "verify", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
        description = "Read the whole log; exit status 1 if anything is damaged or missing.")
final class LedgerVerifyCommand extends LedgerFolderCommand {

    @Override
    public Integer call() throws Exception {
        Verification verification;
        try (Output.Progress progress = Output.progress("verifying")) {
            verification = Verification.of(folder(), progress);
        }
        if (json()) {
            Output.json(out(), verification);
        } else {
            verification.faults().forEach(line -> out().println("FAULT " + line));
            verification.notes().forEach(line -> out().println("note  " + line));
            out().println(verification.segments() + " segments, " + verification.entries() + " entries, "
                    + verification.missing() + " missing, " + verification.repeated() + " duplicates");
        }
        return verification.faults().isEmpty() ? 0 : 1;
    }
}
