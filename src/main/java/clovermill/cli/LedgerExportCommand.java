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

    @Option(names = "--to", paramLabel = "DIR", description = "A folder for the files, instead of the settings'.")
    private String to;
    @Option(names = "--receiver", paramLabel = "URL", description = "A receiver, instead of the settings'.")
    private String receiver;
    @Option(names = "--format", description = "csv or jsonl.")
    private String format;
    @Option(names = "--every", paramLabel = "S", description = "Go on, every so many seconds.")
    private Integer every;

    @Override
    public Integer call() throws Exception {
        Exporter exporter = new Exporter(folder(), terms(), Volume.local(), new Random());
        while (true) {
            Exporter.Result result = exporter.run();
            print(result);
            if (every == null) {
                return result.left() == 0 ? 0 : 1;
            }
            Thread.sleep(every * 1000L);
        }
    }

    /** The settings' terms of the export, where an option does not override them. */
    private LedgerSettings.Export terms() throws SettingsFile.InvalidSettingsException {
        LedgerSettings.Export set = settings().export();
        LedgerSettings.Export terms = new LedgerSettings.Export(to != null ? to : set == null ? null : set.folder(),
                format != null ? format : set == null ? null : set.format(),
                receiver != null ? receiver : set == null ? null : set.receiver(),
                set == null ? null : set.attempts(), set == null ? null : set.timeoutMs());
        if (terms.folder() == null && terms.receiver() == null) {
            throw usageError("neither --to nor --receiver, nor /ledger/export in the settings");
        }
        if (!List.of("csv", "jsonl").contains(terms.format())) {
            throw usageError("--format takes csv or jsonl");
        }
        return terms;
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
