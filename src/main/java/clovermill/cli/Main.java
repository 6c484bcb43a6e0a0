package clovermill.cli;

import clovermill.director.Service;
import clovermill.director.StartupException;
import clovermill.simulation.adapter.Adapter;
import clovermill.simulation.adapter.MalformedInput;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/**
 * The entry point of the process. The platform's invocations, {@code serve} and {@code adapter} without options, are
 * handled here without the command-line library: loading it takes more than a tenth of their startup, see
 * docs/design/ledger.md.
 */
public final class Main {

    private Main() {}

    /** Exits with 0 on success, 1 on failure, 2 on invalid usage. */
    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("serve")) {
            exitUnlessZero(serve(null));
        } else if (args.length == 1 && args[0].equals("adapter")) {
            exitUnlessZero(adapter());
        } else {
            exitUnlessZero(Cli.run(args));
        }
    }

    /** Exits for a nonzero status only: an explicit exit with 0 could cut the shutdown of a director short. */
    private static void exitUnlessZero(int status) {
        if (status != 0) {
            System.exit(status);
        }
    }

    static int serve(String settings) {
        // A literal, since a reference to the class would initialize the JVM's default log manager first.
        System.setProperty("java.util.logging.manager", "clovermill.config.settings.NonResettingLogManager");
        try {
            Service.serve(settings);
            return 0;
        } catch (StartupException | IOException failure) {
            return fail(failure.getMessage());
        }
    }

    static int adapter() {
        try {
            new Adapter(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out)).run();
            return 0;
        } catch (MalformedInput | IOException failure) {
            return fail(failure.getMessage());
        }
    }

    private static int fail(String message) {
        System.err.println("clovermill: " + message);
        return 1;
    }
}
