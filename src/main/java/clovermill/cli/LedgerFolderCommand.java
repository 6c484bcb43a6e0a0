package clovermill.cli;

import clovermill.config.settings.SettingsFile;
import clovermill.ledger.LedgerFolder;
import clovermill.ledger.LedgerSettings;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Option;

/** A command for the ledger of one folder, which is given itself or by a settings file. */
abstract class LedgerFolderCommand implements Callable<Integer> {

    /** The two ways to give the folder; one of them is required. */
    static final class FolderOptions {
        @Option(names = "--folder", paramLabel = "DIR", description = "The ledger's folder.")
        private Path folder;
        @Option(names = "--settings", paramLabel = "FILE", description = "The settings file with the folder.")
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

    /** Returns the ledger section of the settings file, or defaults if only the folder was given. */
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

    /** Creates a usage error: printed with the help of the command, with exit status 2. */
    final CommandLine.ParameterException usageError(String reason) {
        return new CommandLine.ParameterException(spec.commandLine(), reason);
    }
}
