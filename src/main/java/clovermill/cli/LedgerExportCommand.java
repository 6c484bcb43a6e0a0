package clovermill.cli;

import clovermill.config.settings.SettingsFile;
import clovermill.ledger.LedgerSettings;
import clovermill.ledger.export.Exporter;
import clovermill.storage.Volume;
import java.util.List;
import java.util.Random;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code ledger export}: delivers closed periods and corrections. */
@Command(name = "export", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
        description = "Deliver closed periods and corrections, each batch exactly once.")
final class LedgerExportCommand extends LedgerFolderCommand {

    @Option(names = "--to", paramLabel = "DIR", description = "The folder for the files, overriding the settings.")
    private String to;
    @Option(names = "--receiver", paramLabel = "URL", description = "The receiver, overriding the settings.")
    private String receiver;
    @Option(names = "--format", description = "The format: csv or jsonl.")
    private String format;
    @Option(names = "--every", paramLabel = "S", description = "Repeat after this many seconds.")
    private Integer every;

    @Override
    public Integer call() throws Exception {
        Exporter exporter = new Exporter(folder(), exportOptions(), Volume.local(), new Random());
        while (true) {
            Exporter.Result result = exporter.run();
            print(result);
            if (every == null) {
                return result.left() == 0 ? 0 : 1;
            }
            Thread.sleep(every * 1000L);
        }
    }

    /** Returns the export settings, with the options of the command line in place of theirs. */
    private LedgerSettings.Export exportOptions() throws SettingsFile.InvalidSettingsException {
        LedgerSettings.Export configured = settings().export();
        LedgerSettings.Export exportOptions = new LedgerSettings.Export(
                to != null ? to : configured == null ? null : configured.folder(),
                format != null ? format : configured == null ? null : configured.format(),
                receiver != null ? receiver : configured == null ? null : configured.receiver(),
                configured == null ? null : configured.attempts(), configured == null ? null : configured.timeoutMs());
        if (exportOptions.folder() == null && exportOptions.receiver() == null) {
            throw usageError("neither --to nor --receiver, nor /ledger/export in the settings");
        }
        if (!List.of("csv", "jsonl").contains(exportOptions.format())) {
            throw usageError("--format takes csv or jsonl");
        }
        return exportOptions;
    }

    private void print(Exporter.Result result) {
        if (json()) {
            Output.json(out(), result);
        } else if (every == null || !result.delivered().isEmpty() || result.left() > 0) {
            out().println(result.delivered().size() + " batches delivered, " + result.left() + " left"
                    + (result.reason() == null ? "" : ": " + result.reason()));
        }
    }
}
