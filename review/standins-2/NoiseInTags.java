package standins2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some good answers arrive with noise in their tag. Does every other request on the same client's connection still get an
 * answer that can be read?
 */
public final class NoiseInTags {

    /** One answer of so many is spoilt. */
    private static final int SPOILT_OF = 5;
    private static final int CONNECTIONS = 4;
    private static final int USERS = 8;
    private static final long PAUSE_MS = 190;
    private static final long RUN_MS = 60_000;
    private static final int BODY_BYTES = 600;

    private final Record record;
    private final Random noise = new Random(17);
    private final AtomicInteger spoilt = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger wrongBodies = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean stop;

    private NoiseInTags(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        Case.main(args, record -> new NoiseInTags(record).run());
    }

    private int run() throws Exception {
        Server origin = new Server("o-1", this::serve);
        Server parent = new Server("p-1", this::serve);
        Server first = new Server("s-1", this::serve);
        Server second = new Server("s-2", this::serve);
        Channel channel = new Channel(record);
        channel.add(Settings.nodes(1, true, Settings.member(first, "ready"), Settings.member(second, "ready"),
                Settings.member(parent, "ready"), Settings.member(origin, "ready")));
        Director director = Director.start("n1",
                Settings.configuration(channel.address(), channel.known(), Settings.ORDER));
        List<Thread> users = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            Shared shared = new Shared(director.port);
            for (int k = 0; k < USERS; k++) {
                users.add(Kit.daemon("user", () -> use(shared)));
            }
        }
        Kit.sleep(RUN_MS);
        stop = true;
        for (Thread user : users) {
            user.join(5000);
        }
        record.line("answered " + answered + ", spoilt answers " + spoilt + ", answers served with another body than"
                + " any cache sent " + wrongBodies + ", requests lost " + lost);
        return answered.get() == 0 ? Case.COULD_NOT_RUN : lost.get() > 0 ? Case.BROKEN : Case.HELD;
    }

    /** A connection that several users of one client share; a new one is opened when it has ended. */
    private static final class Shared {
        private final int port;
        private Client client;

        Shared(int port) {
            this.port = port;
        }

        synchronized Client client() throws IOException {
            if (client == null || client.mustGo()) {
                client = new Client(port);
            }
            return client;
        }
    }

    private void use(Shared shared) {
        Kit.sleep((long) (Math.random() * PAUSE_MS));
        while (!stop) {
            try {
                Client client = shared.client();
                Map<String, String> fields = Client.page("0");
                Client.Answer answer = Client.await(client.send(fields, new byte[0]), 3700);
                if (answer.code == Client.ENDED || answer.code == Client.NOTHING) {
                    lost.incrementAndGet();
                    record.line("client: request " + fields.get("id") + " is lost: " + answer.name() + " ("
                            + client.reason() + ")");
                } else {
                    answered.incrementAndGet();
                    if (answer.code == Client.SERVED && !Arrays.equals(answer.body, body(fields.get("key")))) {
                        wrongBodies.incrementAndGet();
                        record.line("client: request " + fields.get("id") + " is served with another body than the"
                                + " cache sent, tag of " + answer.fields.getOrDefault("etag", "").length()
                                + " characters");
                    }
                }
            } catch (IOException refused) {
                record.line("client: cannot connect: " + refused);
            }
            Kit.sleep(PAUSE_MS);
        }
    }

    private static byte[] body(String object) {
        return Arrays.copyOf(object.getBytes(StandardCharsets.US_ASCII), BODY_BYTES);
    }

    private void serve(Server.Want want) throws Exception {
        byte[] tag = Kit.hex(16).getBytes(StandardCharsets.US_ASCII);
        synchronized (noise) {
            if (Kit.trouble() && noise.nextInt(SPOILT_OF) == 0) {
                noise.nextBytes(tag);
                spoilt.incrementAndGet();
            }
        }
        ByteArrayOutputStream fields = new ByteArrayOutputStream();
        fields.writeBytes("res=HIT,etag=".getBytes(StandardCharsets.US_ASCII));
        fields.writeBytes(tag);
        fields.writeBytes((",made=" + System.currentTimeMillis()).getBytes(StandardCharsets.US_ASCII));
        want.answerRaw("DONE", fields.toByteArray(), body(want.field("obj")));
    }
}
