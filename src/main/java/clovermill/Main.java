package clovermill;

import clovermill.adapter.Adapter;
import clovermill.adapter.MalformedInput;
import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.net.Clock;
import clovermill.reload.Signals;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/**
 * The command line: {@code serve} is one director, {@code adapter} hosts routers on standard input, {@code
 * rehearse FILE} is part of the build.
 */
public final class Main {

    private static final System.Logger LOG = System.getLogger(Main.class.getName());

    private Main() { }

    /** Exits with 0 at the end, 1 on malformed input or a bad configuration, 2 on wrong usage. */
    public static void main(String[] args) {
        String command = args.length == (args.length > 0 && args[0].equals("rehearse") ? 2 : 1) ? args[0] : "";
        try {
            if (command.equals("serve")) {
                serve();
            } else if (command.equals("adapter")) {
                new Adapter(new FileInputStream(FileDescriptor.in),
                        new FileOutputStream(FileDescriptor.out)).run();
            } else if (command.equals("rehearse")) {
                Rehearsal.play(args[1]);
            } else {
                System.err.println("usage: java -jar clovermill.jar serve|adapter|rehearse FILE");
                System.exit(2);
            }
        } catch (Json.Malformed bad) {
            System.err.println("clovermill: the configuration: " + bad.getMessage());
            System.exit(1);
        } catch (MalformedInput | IOException failure) {
            System.err.println("clovermill: " + failure.getMessage());
            System.exit(1);
        }
    }

    private static void serve() throws IOException, Json.Malformed {
        String file = System.getenv("BALANCER_CONFIG");
        if (file == null) {
            throw new Json.Malformed("BALANCER_CONFIG is not set");
        }
        Config config = Config.load(file, System.getenv("BALANCER_LISTEN"));
        Assembly director = new Assembly(config, Path.of(file), Clock.system(), Assembly.SETTLE_US);
        int[] status = {1};
        CountDownLatch left = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            director.loop().post(director::leave);
            try {
                left.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            // Without this the status would be that of the signal; one that has left as asked gives 0.
            Runtime.getRuntime().halt(status[0]);
        }, "departure"));
        hearSignals(director);
        LOG.log(Level.INFO, "{0} serves clients on {1}", config.name(), config.listen());
        try {
            director.loop().run();
            status[0] = 0;
        } finally {
            left.countDown();
        }
    }

    /** SIGHUP, which would end the JVM, brings a new configuration; what cannot be heard is said. */
    private static void hearSignals(Assembly director) {
        Signals.Hearing hangUp = Signals.onSignal("HUP",
                () -> director.loop().post(director.reloader()::signalled));
        if (hangUp != Signals.Hearing.HEARD) {
            LOG.log(Level.WARNING, "SIGHUP is {0} in this process (nohup does that): the configuration file is"
                    + " looked at for changes instead", hangUp == Signals.Hearing.IGNORED ? "ignored" : "unavailable");
            director.loop().post(director.reloader()::watchAlways);
        }
        if (Signals.hearing("TERM") == Signals.Hearing.IGNORED) {
            LOG.log(Level.WARNING, "SIGTERM is ignored in this process: it cannot be asked to leave, and what is"
                    + " open when it is killed is lost");
        }
    }
}
