package clovermill.cli;

import clovermill.ledger.LedgerSettings;
import clovermill.ledger.totals.Compactor;
import clovermill.storage.Volume;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code ledger compact}: deletes segments beyond the retention limits. */
@Command(name = "compact", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
        description = "Delete exported segments beyond an age or a total size.")
final class LedgerCompactCommand extends LedgerFolderCommand {

    @Option(names = "--days", description = "Keep segments younger than this, overriding the settings.")
    private Integer days;
    @Option(names = "--mb", description = "Keep at most this many megabytes, overriding the settings.")
    private Integer mb;

    @Override
    public Integer call() throws Exception {
        LedgerSettings.Retention retention = settings().retention();
        Integer maxDays = days != null ? days : retention.days();
        Integer maxMb = mb != null ? mb : retention.mb();
        if (maxDays == null && maxMb == null) {
            throw usageError("neither --days nor --mb, nor /ledger/retention in the settings");
        }
        Compactor.Result result;
        try (Output.Progress progress = Output.progress("compacting")) {
            result = Compactor.run(folder(), System.currentTimeMillis(), maxDays == null ? -1 : maxDays,
                    maxMb == null ? -1 : (long) maxMb << 20, Volume.local(), progress);
        }
        if (json()) {
            Output.json(out(), result);
        } else {
            out().println(result.segments().size() + " segments deleted, " + result.bytes() + " bytes");
        }
        return 0;
    }
}
