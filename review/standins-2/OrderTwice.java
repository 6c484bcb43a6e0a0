package standins2;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A keyed order whose answer is lost: its client retries within the window. Does the director send the client's retry
 * on after the window, in which the archive drops a repeat, has passed?
 */
public final class OrderTwice {

    private static final int WINDOW_MS = 2000;
    private static final int DEADLINE_MS = 3000;
    /** The archive turns calls away until so long after the first run. */
    private static final int FULL_MS = 2300;
    private static final int ORDERS = 10;
    private static final String ORDER = "{\"name\":\"order\",\"aim-us\":700000,\"deadline-us\":" + DEADLINE_MS * 1000
            + ",\"effect\":\"deduplicated\",\"key-scope\":\"all\",\"window-us\":" + WINDOW_MS * 1000
            + ",\"value\":3.0,\"late-worth\":0.0}";

    /** The archive's memory of keys, and how often it has run each order. */
    private final Map<String, Long> rememberedMs = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Record record;
    private volatile long fullUntilMs;
    private int unanswered;

    private OrderTwice(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        Case.main(args, record -> new OrderTwice(record).run());
    }

    private int run() throws Exception {
        Server origin = new Server("o-1", this::handleOrder);
        Server parent = new Server("p-1", want -> origin(origin, want));
        Server cache = new Server("s-1", want -> want.answer("LACK", "res=NO_FILL", new byte[0]));
        Channel channel = new Channel(record);
        channel.add(Settings.nodes(1, true, Settings.member("s-1", cache.address, "edge", "std", 1, "ready", 6, 0),
                Settings.member("p-1", parent.address, "north", "parent", 2, "ready", 20, 0),
                Settings.member("o-1", origin.address, "north", "origin", 3, "ready", 1, 0)));
        Director director =
                Director.start("n1", Settings.configuration(channel.address(), channel.known(), ORDER)
                        .replace("\"second-copies\":true", "\"second-copies\":false")
                        .replace("\"max-retry-after-us\":500000", "\"max-retry-after-us\":2000000"));
        for (int i = 0; i < ORDERS; i++) {
            order(director);
            Kit.sleep(500);
        }
        int twice = (int) runs.values().stream().filter(each -> each.get() > 1).count();
        record.line("orders run: " + runs.size() + ", of these more than once: " + twice + "; tries without an answer: "
                + unanswered);
        return unanswered > 0 ? Case.COULD_NOT_RUN : twice > 0 ? Case.BROKEN : Case.HELD;
    }

    /** The archive: turns calls away while it is full, drops a repeat within the window, and runs the rest. */
    private void handleOrder(Server.Want want) throws Exception {
        String key = want.field("token");
        long nowMs = record.ms();
        Long ranMs = rememberedMs.get(key);
        if (nowMs < fullUntilMs) {
            record.line("archive: full, turns attempt of " + want.id + " away");
            want.answer("WAIT", "-", new byte[0]);
        } else if (ranMs != null && nowMs - ranMs < WINDOW_MS) {
            record.line("archive: drops a repeat of " + key + ", and answers");
            want.answer("DONE", "res=HIT,etag=" + Kit.hex(16) + ",made=" + System.currentTimeMillis(), key.getBytes());
        } else {
            rememberedMs.put(key, nowMs);
            int run = runs.computeIfAbsent(key, each -> new AtomicInteger()).incrementAndGet();
            record.line("archive: RUNS order " + key + " (attempt of " + want.id + "), run " + run);
            if (Kit.trouble() && run == 1) {
                fullUntilMs = nowMs + FULL_MS;
                record.line("trouble: the connection is reset under the order that has run");
                want.reset();
            } else {
                want.answer("DONE", "res=HIT,etag=" + Kit.hex(16) + ",made=" + System.currentTimeMillis(),
                        key.getBytes());
            }
        }
    }

    /** A parent keeps no copy of orders and passes them to the archive. */
    private void origin(Server origin, Server.Want want) throws Exception {
        if (want.field("src").equals(origin.id)) {
            handleOrder(want);
        } else {
            want.answer("LACK", "-", new byte[0]);
        }
    }

    /** One client: a try, and up to two retries within the window and the time in all, each after its wait. */
    private void order(Director director) throws Exception {
        String key = Kit.hex(32);
        String object = Kit.hex(16);
        long startMs = record.ms();
        try (Client client = new Client(director.port)) {
            for (int attempt = 0; attempt < 3; attempt++) {
                long leftMs = DEADLINE_MS - (record.ms() - startMs);
                Map<String, String> fields = new LinkedHashMap<>();
                fields.put("class", "order");
                fields.put("id", Kit.hex(16));
                fields.put("wait", Long.toString(leftMs));
                fields.put("once", key);
                fields.put("key", object);
                fields.put("seg", "0");
                fields.put("bucket", "7");
                fields.put("kb", "20");
                if (attempt > 0) {
                    fields.put("retry", "1");
                }
                record.line("client: try " + (attempt + 1) + " of order " + key + ", id " + fields.get("id") + ", "
                        + (record.ms() - startMs) + " ms after its first");
                Client.Answer answer = Client.await(client.send(fields, "order".getBytes()), leftMs + 600);
                record.line("client: order " + key + " is " + answer.name());
                if (answer.code == Client.ENDED || answer.code == Client.NOTHING) {
                    unanswered++;
                    return;
                }
                long waitMs = Math.max(250, Long.parseLong(answer.fields.getOrDefault("after", "0")));
                if (answer.code == Client.SERVED || record.ms() - startMs + waitMs >= WINDOW_MS - 50) {
                    return;
                }
                Kit.sleep(waitMs);
            }
        }
    }
}
