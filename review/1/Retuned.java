import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * New settings twice under load: the class skip-order is dropped, then it is there again, in a file with all keys of the
 * first one, and page-asset is {@code at_most_once}. With TROUBLE=0 the director is started with that last file.
 */
public final class Retuned {

    private static final int PER_SECOND = 50;
    private static final double DROP_AT_S = 5;
    private static final double ADD_AT_S = 15;
    private static final int SECONDS = 45;
    /** The rules of new settings bind 1.2 s after SIGHUP; every time limit is 50 ms longer. */
    private static final double BINDS_S = 1.25;
    /** A cache gives up a fill from which nothing has come for 1.1 to 3 s: so long a sound one may take. */
    private static final double SLOW_FILLS = 0.05;
    private static final double SLOW_FILL_MS = 700;

    public static void main(String[] args) {
        Verdict.of(args, Retuned::run);
    }

    /** The first file: page-asset may be repeated. */
    private static Settings first() {
        Settings settings = new Settings();
        settings.directors = 1;
        return settings;
    }

    /** The second file: the class skip-order is dropped. */
    private static Settings second() {
        Settings settings = first();
        settings.classes = List.of(Settings.VIDEO, Settings.PAGE);
        settings.freshUs = "0,20000000";
        settings.usableUs = "0,20000000";
        settings.goesThrough = "false,false";
        settings.inParts = "true,false";
        settings.staleWorth = "0.7,0.7";
        return settings;
    }

    /** The third file: the keys of the first; only the effect of page-asset is another. */
    private static Settings third() {
        Settings settings = first();
        settings.classes = List.of(Settings.VIDEO, Settings.PAGE.replace("idempotent", "at_most_once"), Settings.ORDER);
        return settings;
    }

    /** The ids of requests that were sent while their class was at_most_once by the rules. */
    private static final Map<String, Boolean> ONCE = new HashMap<>();
    /** The attempts of each request that caches and hubs have run or run, by its id. Those answered LACK never ran. */
    private static final Map<String, Integer> RUNS = new HashMap<>();
    private static int twice;
    private static int others;
    private static Record record;

    private static final class Cache extends Member {
        private final Random random;

        Cache(Loop loop, String id, int seed) throws IOException {
            super(loop, record, id, false);
            random = new Random(seed);
            fillMs = 60;
        }

        @Override
        double millis(Lines.Want want, boolean held) {
            int runs = RUNS.merge(want.id(), 1, Integer::sum);
            if (runs > 1 && ONCE.containsKey(want.id())) {
                twice++;
                record.line("BROKEN: " + want.id() + " is at_most_once and runs for the " + runs + ". time, now at " + id);
            } else if (runs > 1) {
                others++;
            }
            return !held && random.nextDouble() < SLOW_FILLS ? SLOW_FILL_MS : super.millis(want, held);
        }
    }

    private static void retune(Director director, Settings settings, Channel channel, String what)
            throws IOException, InterruptedException {
        Path next = director.config.resolveSibling("next.json");
        Files.writeString(next, settings.config("n1", director.port, director.admin, channel.port(), channel.known()));
        Files.move(next, director.config, StandardCopyOption.ATOMIC_MOVE);
        director.signal("HUP");
        record.say("SIGHUP: " + what);
    }

    private static int run(boolean trouble, Path folder, Record to) throws Exception {
        record = to;
        Loop loop = new Loop();
        List<String> nodes = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            nodes.add(Settings.node("s-" + i, new Cache(loop, "s-" + i, i).port(), "depot-1", "standard", i, "ready", 6, 0));
        }
        nodes.add(Settings.node("p-1", new Cache(loop, "p-1", 8).port(), "north", "parent", 8, "ready", 20, 0));
        nodes.add(Settings.node("o-1", new Member(loop, record, "o-1", true).port(), "north", "origin", 9, "ready", 1, 0));
        Channel channel = new Channel(loop);
        loop.call(() -> channel.tell(Settings.nodes(1, true, nodes)));
        int port = Director.freePort();
        int admin = Director.freePort();
        Director director = new Director(folder, "n1", port, admin, (trouble ? first() : third()).config("n1", port,
                admin, channel.port(), channel.known()), "");
        if (!director.awaitReady()) {
            record.say("the director did not become ready: " + director.logEnd(5));
            return Verdict.NOT_RUN;
        }
        record.say("the director is ready, started with the " + (trouble ? "first" : "third") + " file");
        Client client = new Client(loop, record, port, 100);
        Random random = new Random(5);
        int[] pages = new int[100];
        int[] orders = new int[100];
        long startNs = System.nanoTime();
        boolean dropped = false;
        double bindsAtS = trouble ? Double.MAX_VALUE : 0;
        for (int number = 0; number < SECONDS * PER_SECOND; number++) {
            long dueNs = startNs + number * 1_000_000_000L / PER_SECOND;
            while (System.nanoTime() < dueNs) {
                Thread.sleep(1);
            }
            double seconds = (System.nanoTime() - startNs) / 1e9;
            if (trouble && !dropped && seconds >= DROP_AT_S) {
                dropped = true;
                retune(director, second(), channel, "the second file: skip-order is dropped");
            }
            if (trouble && bindsAtS == Double.MAX_VALUE && seconds >= ADD_AT_S) {
                retune(director, third(), channel, "the third file: skip-order is there again, with the keys that it had;"
                        + " page-asset is at_most_once");
                bindsAtS = (System.nanoTime() - startNs) / 1e9 + BINDS_S;
            }
            boolean binds = (System.nanoTime() - startNs) / 1e9 >= bindsAtS;
            String key = String.format("%016x", 0x7000L + random.nextInt(2000));
            boolean order = number % 30 == 29 && binds;
            loop.post(() -> {
                Client.Ask ask = client.ask(order ? "skip-order" : "page-asset", key, 0, 7, 300, 2500, order,
                        order ? new byte[100] : new byte[0], done -> (order ? orders : pages)[Math.max(0, done.code)]++);
                if (binds && !order) {
                    ONCE.put(ask.id, true);
                }
            });
        }
        Thread.sleep(3000);
        record.say("page-asset: served " + pages[79] + ", refused " + pages[66] + ", failed " + pages[69] + ", lost "
                + pages[0] + "; skip-order once the third file binds: served " + orders[79] + ", refused " + orders[66]
                + ", failed " + orders[69]);
        if (!director.process.isAlive()) {
            record.say("the director has ended by itself");
            return Verdict.NOT_RUN;
        }
        director.end();
        for (String line : director.logEnd(10)) {
            record.say("log: " + line);
        }
        int broken = loop.call(() -> twice);
        record.say("requests of page-asset that were at_most_once when they were sent: " + ONCE.size()
                + "; further runs of these: " + broken + "; of those that might be repeated: " + others);
        record.say(broken == 0 ? "HELD" : "BROKEN");
        return broken == 0 ? Verdict.HELD : Verdict.BROKEN;
    }
}
