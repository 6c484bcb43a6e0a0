package clovermill.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Exit status, one-line error messages, and the help of every command. */
class CliTest {

    @TempDir
    private Path folder;
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        return Cli.line().setOut(new PrintWriter(out, true)).setErr(new PrintWriter(err, true)).execute(args);
    }

    private String settings(String text) throws IOException {
        return Files.writeString(folder.resolve("s.json"), text).toString();
    }

    @Test
    void everyCommandHasHelpAndAVersion() {
        assertHelpAndVersion(Cli.line());
    }

    private void assertHelpAndVersion(CommandLine line) {
        String[] path = line.getCommandSpec().qualifiedName(" ").split(" ");
        String[] args = Arrays.copyOfRange(path, 1, path.length + 1);
        for (String option : new String[] {"--help", "--version"}) {
            args[args.length - 1] = option;
            assertThat(run(args)).as(String.join(" ", args)).isZero();
        }
        line.getSubcommands().values().forEach(this::assertHelpAndVersion);
    }

    @Test
    void exitsWith2OnInvalidUsage() {
        assertThat(run()).isEqualTo(2);
        assertThat(run("nonsense")).isEqualTo(2);
        assertThat(run("ledger", "show")).isEqualTo(2);
        assertThat(run("ledger", "compact", "--folder", folder.toString())).isEqualTo(2);
    }

    @Test
    void reportsInvalidSettingsInOneLineWithFilePointerAndReason() throws IOException {
        String[][] invalid = {
            {"{\"ledger\":{\"folder\":\"x\",\"period_s\":0}}", "/ledger/period_s: "},
            {"{\"ledger\":{\"folder\":\"x\",\"tenants\":[{\"tenant\":\"a\",\"groups\":[3,256]}]}}",
                "/ledger/tenants/0/groups/1: "},
            {"{\"ledgr\":{}}", "ledgr"},
            {"{\"log\":{\"format\":\"xml\"}}", "/log/format: "},
            {"{\"log\":", "no JSON, line 1"},
            {"{\"log\":{},\"log\":{}}", "no JSON, line 1"},
        };
        for (String[] each : invalid) {
            err.getBuffer().setLength(0);
            String file = settings(each[0]);
            assertThat(run("check", file)).isEqualTo(1);
            assertThat(err.toString().lines()).hasSize(1).first().asString().startsWith("clovermill: " + file + ": ")
                    .contains(each[1]);
        }
        assertThat(run("check", folder.resolve("none").toString())).isEqualTo(1);
    }

    @Test
    void checksSettingsAgainstTheRequestClassesOfADirector() throws IOException {
        String file = settings("{\"ledger\":{\"folder\":\"x\",\"tenants\":[{\"tenant\":\"a\",\"class\":\"pgae\"}]}}");
        assertThat(run("check", file)).isZero();
        assertThat(run("check", file, "--config", "example/config.json")).isEqualTo(1);
        assertThat(err.toString()).contains(file + ": /ledger: tenant a names the unknown class pgae");
        assertThat(run("check", "deploy/clovermill.json")).isZero();
        assertThat(run("check", "example/settings.json", "--config", "example/config.json")).isZero();
        assertThat(run("check", "example/config.json")).isZero();
    }

    @Test
    void reportsAFolderWithoutALedgerInOneLine() {
        for (String command : new String[] {"show", "verify", "rebuild", "tail"}) {
            err.getBuffer().setLength(0);
            assertThat(run("ledger", command, "--folder", folder.toString())).isEqualTo(1);
            assertThat(err.toString().lines()).hasSize(1).first().asString().contains("identity.json");
        }
    }
}
