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
 * Where the process starts. The platform's {@code serve} and {@code adapter} alone are told apart here: what the
 * command line's library costs at a start is more than a tenth of all they cost, see docs/design/ledger.md.
 */
public final class Main {

    private Main() {}

    /** Exits with 0 at the end, 1 on a fault, 2 on wrong usage. */
    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("serve")) {
            exitUnlessZero(serve(null));
        } else if (args.length == 1 && args[0].equals("adapter")) {
            exitUnlessZero(adapter());
        } else {
            exitUnlessZero(Cli.run(args));
        }
    }

    /** A director returns after its departure has ended; halting before would cut that short. */
    private static void exitUnlessZero(int status) {
        if (status != 0) {
            System.exit(status);
        }
    }

    static int serve(String settings) {
        // Not a constant of that class: initializing it would set the JVM's own manager up before.
        System.setProperty("java.util.logging.manager", "clovermill.config.settings.LastingLog");
        try {
            Service.serve(settings);
            return 0;
        } catch (StartupException | IOException failure) {
            return fault(failure.getMessage());
        }
    }

    static int adapter() {
        try {
            new Adapter(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out)).run();
            return 0;
        } catch (MalformedInput | IOException failure) {
            return fault(failure.getMessage());
        }
    }

    private static int fault(String line) {
        System.err.println("clovermill: " + line);
        return 1;
    }
}
