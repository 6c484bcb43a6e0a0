package clovermill.cli;

import clovermill.ledger.LedgerSettings;
import clovermill.ledger.OfflinePeriodClosing;
import clovermill.storage.Volume;
import java.util.Map;
import picocli.CommandLine.Command;

/** {@code ledger close}: closes ended periods of a folder whose director is not running. */
@Command(name = "close", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
        description = "Close the ended periods of a folder whose director is not running.")
final class LedgerCloseCommand extends LedgerFolderCommand {

    @Override
    public Integer call() throws Exception {
        LedgerSettings settings = settings();
        long throughMs = OfflinePeriodClosing.close(folder(), settings, System.currentTimeMillis(), Volume.local());
        if (json()) {
            Output.json(out(), Map.of("through", LedgerFormat.time(throughMs)));
        } else {
            out().println("closed through " + LedgerFormat.time(throughMs));
        }
        return 0;
    }
}
