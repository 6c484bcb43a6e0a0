package standins2;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * The command channel answers late, but answers each call. Does the director learn that a cache drains, and stop sending
 * to it?
 */
public final class SlowDiscovery {

    /** How late each answer of the channel leaves: under the 2 s after the end of the wait that the page counts. */
    private static final long LATE_MS = 1800;
    /** What the channel has to tell counts as told so much later at the latest; then the grace for drains and 50 ms. */
    private static final long TOLD_MS = 7000;
    private static final long GRACE_MS = 500 + 50;
    private static final int RUN_MS = 40_000;
    private static final int DRAIN_AT_MS = 10_000;

    private final Record record;
    private final AtomicInteger afterDrain = new AtomicInteger();
    private final AtomicInteger afterGrace = new AtomicInteger();
    private volatile long drainMs = Long.MAX_VALUE / 2;

    private SlowDiscovery(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        Case.main(args, record -> new SlowDiscovery(record).run());
    }

    private int run() throws Exception {
        Server origin = new Server("o-1", this::serve);
        Server parent = new Server("p-1", this::serve);
        Server[] caches = new Server[3];
        for (int i = 0; i < caches.length; i++) {
            caches[i] = new Server("s-" + (i + 1), this::serve);
        }
        Channel channel = new Channel(record);
        channel.add(Settings.nodes(1, true, Settings.member(caches[0], "ready"), Settings.member(caches[1], "ready"),
                Settings.member(caches[2], "ready"), Settings.member(parent, "ready"),
                Settings.member(origin, "ready")));
        if (Kit.trouble()) {
            channel.delayMs = LATE_MS;
            record.line("trouble: each answer of the command channel leaves " + LATE_MS + " ms late");
        }
        Director director =
                Director.start("n1", Settings.configuration(channel.address(), channel.known(), Settings.ORDER));
        int served = 0;
        int asked = 0;
        long fromMs = record.ms();
        boolean told = false;
        try (Client client = new Client(director.port)) {
            while (record.ms() - fromMs < RUN_MS) {
                if (!told && record.ms() - fromMs >= DRAIN_AT_MS) {
                    told = true;
                    drainMs = record.ms();
                    int event = channel.add(Settings.nodes(2, false, Settings.member(caches[1], "draining")));
                    record.line("channel: event " + event + ": s-2 drains");
                }
                asked++;
                served += client.askPage() ? 1 : 0;
                Kit.sleep(40);
            }
        }
        record.line("asked " + asked + ", served " + served + "; sent to s-2 since it drains: " + afterDrain
                + ", of these later than " + (TOLD_MS + GRACE_MS) + " ms: " + afterGrace);
        return served == 0 ? Case.COULD_NOT_RUN : afterGrace.get() > 0 ? Case.BROKEN : Case.HELD;
    }

    private void serve(Server.Want want) throws Exception {
        long sinceMs = record.ms() - drainMs;
        if (sinceMs > 0 && (want.server.id.equals("s-2") || want.field("src").equals("s-2"))) {
            afterDrain.incrementAndGet();
            if (sinceMs > TOLD_MS + GRACE_MS) {
                afterGrace.incrementAndGet();
                record.line("s-2 gets request " + want.id + " at " + want.server.id + ", " + sinceMs
                        + " ms after it began to drain");
            }
        }
        want.answer("DONE", "res=HIT,etag=" + want.field("obj") + ",made=" + System.currentTimeMillis(),
                want.field("obj").getBytes());
    }
}
