package clovermill.cli;

import clovermill.ledger.LedgerSettings;
import clovermill.ledger.books.Compactor;
import clovermill.storage.Volume;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code ledger compact}: removes segments that are past retention. */
@Command(name = "compact", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
        description = "Take away exported segments beyond an age or a size.")
final class LedgerCompactCommand extends LedgerFolderCommand {

    @Option(names = "--days", description = "Keep what is younger, instead of the settings'.")
    private Integer days;
    @Option(names = "--mb", description = "Keep so much, instead of the settings'.")
    private Integer mb;

    @Override
    public Integer call() throws Exception {
        LedgerSettings.Retention set = settings().retention();
        Integer mostDays = days != null ? days : set.days();
        Integer mostMb = mb != null ? mb : set.mb();
        if (mostDays == null && mostMb == null) {
            throw usageError("neither --days nor --mb, nor /ledger/retention in the settings");
        }
        Compactor.Result result;
        try (Output.Progress progress = Output.progress("compacting")) {
            result = Compactor.run(folder(), System.currentTimeMillis(), mostDays == null ? -1 : mostDays,
                    mostMb == null ? -1 : (long) mostMb << 20, Volume.local(), progress);
        }
        if (json()) {
            Output.json(out(), result);
        } else {
            out().println(result.segments().size() + " segments taken away, " + result.bytes() + " bytes");
        }
        return 0;
    }
}
