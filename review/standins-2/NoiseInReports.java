package standins2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * For some seconds, one byte of noise is in the load report of some good answers. Does the director serve again
 * afterwards, when every cache is sound?
 */
public final class NoiseInReports {

    /** One answer of so many is spoilt while the trouble lasts. */
    private static final int SPOILT_OF = 10;
    private static final long QUIET_MS = 5000;
    private static final long TROUBLE_MS = 20_000;
    private static final long RUN_MS = 75_000;
    private static final int CACHES = 4;
    private static final int USERS = 28;
    private static final long PAUSE_MS = 50;
    /** Longer than the director asks for. */
    private static final long REFUSED_PAUSE_MS = 200;
    private static final long WORK_MS = 150;

    private final Record record;
    private final Random random = new Random(23);
    private final Map<String, AtomicInteger> held =
            Map.of("s-1", new AtomicInteger(), "s-2", new AtomicInteger(), "s-3", new AtomicInteger(), "s-4",
                    new AtomicInteger(), "p-1", new AtomicInteger(), "o-1", new AtomicInteger());
    private final AtomicInteger spoilt = new AtomicInteger();
    private final AtomicInteger[] asked = counters();
    private final AtomicInteger[] served = counters();
    private volatile long startMs = Long.MAX_VALUE / 2;

    private NoiseInReports(Record record) {
        this.record = record;
    }

    private static AtomicInteger[] counters() {
        AtomicInteger[] thirds = new AtomicInteger[3];
        for (int i = 0; i < thirds.length; i++) {
            thirds[i] = new AtomicInteger();
        }
        return thirds;
    }

    public static void main(String[] args) throws Exception {
        Case.main(args, record -> new NoiseInReports(record).run());
    }

    private int run() throws Exception {
        List<String> members = new ArrayList<>();
        for (int i = 1; i <= CACHES; i++) {
            members.add(Settings.member(new Server("s-" + i, this::serve), "ready"));
        }
        members.add(Settings.member(new Server("p-1", this::serve), "ready"));
        members.add(Settings.member(new Server("o-1", this::serve), "ready"));
        Channel channel = new Channel(record);
        channel.add(Settings.nodes(1, true, members.toArray(new String[0])));
        Director director = Director.start("n1", configuration(channel));
        startMs = record.ms();
        List<Thread> users = new ArrayList<>();
        for (int i = 0; i < USERS; i++) {
            users.add(Kit.daemon("user", () -> use(director)));
        }
        for (Thread user : users) {
            user.join();
        }
        boolean ready;
        try (Client client = new Client(director.port)) {
            ready = client.ready(2000);
        }
        record.line("asked in each third: " + List.of(asked) + ", served: " + List.of(served) + ", spoilt answers: "
                + spoilt + "; is the director ready? " + (ready ? "yes" : "no"));
        int last = served[2].get();
        return served[0].get() == 0 ? Case.COULD_NOT_RUN : 5 * last < asked[2].get() ? Case.BROKEN : Case.HELD;
    }

    /** Like centre-cache: load reports in each answer, sizes not told, a request goes to caches of the location only. */
    private static String configuration(Channel channel) {
        return Settings.configuration(channel.address(), channel.known(), Settings.ORDER)
                .replace("\"says\":\"all\"", "\"zone-link-kb-per-s\":[0,60000],\"says\":\"hit\"")
                .replace("\"straight\":true", "\"straight\":false")
                .replace("\"shares-fills\":true", "\"shares-fills\":false")
                .replace("\"settings\":{", "\"settings\":{\"feedback\":{\"how\":\"answers\","
                        + "\"names\":[\"concurrent\",\"load_share\",\"x1\"]},");
    }

    private void use(Director director) {
        Kit.sleep((long) (Math.random() * PAUSE_MS));
        try (Client client = new Client(director.port)) {
            for (long atMs = record.ms() - startMs; atMs < RUN_MS; atMs = record.ms() - startMs) {
                int third = (int) (3 * atMs / RUN_MS);
                asked[third].incrementAndGet();
                Map<String, String> fields = Client.page("0");
                fields.remove("kb");
                Client.Answer answer = Client.await(client.send(fields, new byte[0]), 3600);
                if (answer.code == Client.SERVED) {
                    served[third].incrementAndGet();
                } else {
                    record.line("client: request " + fields.get("id") + " is " + answer.name());
                }
                Kit.sleep(answer.code == Client.SERVED ? PAUSE_MS : REFUSED_PAUSE_MS);
            }
        } catch (IOException failure) {
            record.line("client: " + failure);
        }
    }

    private void serve(Server.Want want) {
        int open = held.get(want.server.id).incrementAndGet();
        Kit.daemon("answer", () -> {
            Kit.sleep(WORK_MS);
            try {
                want.answer("DONE", "res=HIT,etag=" + want.field("obj") + ",made=" + System.currentTimeMillis()
                        + ",gauges=" + report(want, open), want.field("obj").getBytes());
            } catch (IOException gone) {
                // the director has closed the connection
            }
            held.get(want.server.id).decrementAndGet();
        });
    }

    /** The requests held, and part of one more, as reports are noisy; in a spoilt answer one byte of that is another. */
    private synchronized String report(Server.Want want, int open) {
        String number = String.format(Locale.ROOT, "%.2f", open + 0.2 + 0.79 * random.nextDouble());
        long atMs = record.ms() - startMs;
        if (Kit.trouble() && atMs >= QUIET_MS && atMs < QUIET_MS + TROUBLE_MS && random.nextInt(SPOILT_OF) == 0) {
            number = number.replace('.', 'e');
            spoilt.incrementAndGet();
            record.line(want.server.id + ": the report of its answer to " + want.id + " arrives as concurrent:" + number);
        }
        return "concurrent:" + number + ";load_share:0.20;x1:0.35";
    }
}
