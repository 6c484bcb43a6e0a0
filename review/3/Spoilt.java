import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Some answers of the caches arrive spoilt for a while; then all caches answer soundly, and the director serves none. */
public final class Spoilt {

    private static final int PER_SECOND = 40;
    private static final int THIRD_S = 25;
    private static final int BODY = 200_000;
    private static final double SPOILT_SHARE = 0.1;

    public static void main(String[] args) {
        Verdict.of(args, Spoilt::run);
    }

    private static Record record;
    private static boolean spoiling;
    private static int spoilt;
    private static int good;

    private static final class SpoilingCache extends Member {
        private final Random random;

        SpoilingCache(Loop loop, String id, int seed) throws IOException {
            super(loop, record, id, false);
            random = new Random(seed);
            bodyBytes = BODY;
        }

        /** A spoilt answer has one byte of its line overwritten by noise: here a digit of the time. */
        @Override
        void write(Peer peer, Lines.Want want, String result, long madeMs, double waitedMs, byte[] body) {
            if (!spoiling || random.nextDouble() >= SPOILT_SHARE) {
                good++;
                super.write(peer, want, result, madeMs, waitedMs, body);
                return;
            }
            spoilt++;
            record.line(id + " spoils its answer to " + want.id());
            char noise = (char) ('g' + random.nextInt(10));
            peer.answer(want.id(), "DONE", "etag=" + want.field("obj") + ",made=" + madeMs + ",res=" + result
                    + ",ttfb=" + noise + String.valueOf(waitedMs).substring(1), body);
        }
    }

    private static int run(boolean trouble, Path folder, Record to) throws Exception {
        record = to;
        Loop loop = new Loop();
        List<Member> members = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            members.add(new SpoilingCache(loop, "s-" + i, i));
        }
        members.add(new Member(loop, record, "p-1", false));
        members.add(new Member(loop, record, "o-1", true));
        Channel channel = new Channel(loop);
        List<String> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodes.add(Settings.node("s-" + (i + 1), members.get(i).port(), "depot-1", "standard", i + 1, "ready", 6, 0));
        }
        nodes.add(Settings.node("p-1", members.get(4).port(), "north", "parent", 8, "ready", 20, 0));
        nodes.add(Settings.node("o-1", members.get(5).port(), "north", "origin", 9, "ready", 1, 0));
        loop.call(() -> channel.tell(Settings.nodes(1, true, nodes)));
        int port = Director.freePort();
        int admin = Director.freePort();
        Director director = new Director(folder, "n1", port, admin, new Settings().config("n1", port, admin,
                channel.port(), channel.known()), "");
        if (!director.awaitReady()) {
            record.say("the director did not become ready: " + director.logEnd(5));
            return Verdict.NOT_RUN;
        }
        record.say("the director is ready; " + (trouble ? "a tenth of the answers of the caches is spoilt for "
                + 2 * THIRD_S + " s" : "no answer is spoilt"));
        int[][] codes = new int[3][80];
        int[] asked = new int[3];
        int[] open = {0};
        Client[] clients = new Client[8];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = new Client(loop, record, port, 100 + i);
        }
        Random random = new Random(5);
        spoiling = trouble;
        long startNs = System.nanoTime();
        for (int number = 0; number < 3 * THIRD_S * PER_SECOND; number++) {
            long dueNs = startNs + number * 1_000_000_000L / PER_SECOND;
            while (System.nanoTime() < dueNs) {
                Thread.sleep(1);
            }
            int third = number / (THIRD_S * PER_SECOND);
            if (third == 2 && spoiling) {
                spoiling = false;
                record.say("from now on every answer is sound; spoilt so far: " + spoilt + " answers of " + BODY
                        + " bytes");
            }
            Client client = clients[number % clients.length];
            String key = String.format("%016x", 0x7000L + random.nextInt(300));
            asked[third]++;
            open[0]++;
            loop.post(() -> client.ask("guide-video", key, 0, 7, 900, 4000, false, new byte[0], ask -> {
                codes[third][Math.max(0, ask.code)]++;
                open[0]--;
            }));
        }
        for (int i = 0; i < 60 && loop.call(() -> open[0]) > 0; i++) {
            Thread.sleep(100);
        }
        for (int third = 0; third < 3; third++) {
            record.say("third " + (third + 1) + ": asked " + asked[third] + ", served " + codes[third][79] + ", refused "
                    + codes[third][66] + ", failed " + codes[third][69] + ", lost " + codes[third][0]);
        }
        record.say("answers of caches: good " + good + ", spoilt " + spoilt + "; GET /ready: "
                + director.call("GET", "/ready", "").lines().findFirst().orElse("none"));
        boolean alive = director.process.isAlive();
        director.end();
        for (String line : director.logEnd(10)) {
            record.line("log: " + line);
        }
        if (!alive) {
            record.say("the director has ended");
            return Verdict.BROKEN;
        }
        boolean held = codes[2][79] * 5 >= asked[2];
        record.say(held ? "HELD" : "BROKEN: in the last third, with every cache sound, " + codes[2][79] + " of " + asked[2]
                + " requests were served");
        return held ? Verdict.HELD : Verdict.BROKEN;
    }
}
