package clovermill.cli;

import clovermill.config.settings.SettingsFile;
import clovermill.ledger.LedgerFolder;
import clovermill.ledger.LedgerSettings;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Option;
import picocli.CommandLine;

/** A command on the ledger of one folder, which is named itself or by a settings file. */
abstract class LedgerFolderCommand implements Callable<Integer> {

    /** The two ways to name the folder; one of them is required. */
    static final class FolderOptions {
        @Option(names = "--folder", paramLabel = "DIR", description = "The ledger's folder.")
        private Path folder;
        @Option(names = "--settings", paramLabel = "FILE", description = "Settings that name it.")
        private String settings;
    }

    @CommandLine.ArgGroup(multiplicity = "1")
    private FolderOptions folderOptions;
    @Option(names = "--json", description = "Print JSON.")
    private boolean json;
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    final LedgerFolder folder() throws SettingsFile.InvalidSettingsException {
        return new LedgerFolder(folderOptions.folder != null ? folderOptions.folder : Path.of(settings().folder()));
    }

    /** The ledger's part of the settings file, or defaults where only the folder was named. */
    final LedgerSettings settings() throws SettingsFile.InvalidSettingsException {
        if (folderOptions.settings == null) {
            return LedgerSettings.in(folderOptions.folder.toString());
        }
        return SettingsFile.read(folderOptions.settings).part("ledger", LedgerSettings.class)
                .orElseThrow(() -> new SettingsFile.InvalidSettingsException(folderOptions.settings, "/ledger",
                        "is missing"));
    }

    final PrintWriter out() {
        return spec.commandLine().getOut();
    }

    final boolean json() {
        return json;
    }

    /** Wrong usage: printed with the command's help, with exit status 2. */
    final CommandLine.ParameterException usageError(String reason) {
        return new CommandLine.ParameterException(spec.commandLine(), reason);
    }
}
