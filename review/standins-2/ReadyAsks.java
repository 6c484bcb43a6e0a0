package standins2;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A client that keeps one connection and asks between its requests whether the director is ready. Is each of its requests
 * answered?
 */
public final class ReadyAsks {

    private static final int ROUNDS = 1500;
    /** Two slow requests are always open, half of this apart, so that the connection never rests. */
    private static final long SLOW_MS = 1200;

    /** A request that crosses a close within this time is sent again, and not lost. */
    private static final long CROSSING_MS = 50;

    private final Record record;
    private int unanswered;

    private ReadyAsks(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        Case.main(args, record -> new ReadyAsks(record).run());
    }

    private int run() throws Exception {
        Server origin = new Server("o-1", ReadyAsks::serve);
        Server parent = new Server("p-1", ReadyAsks::serve);
        Server cache = new Server("s-1", ReadyAsks::serve);
        Channel channel = new Channel(record);
        channel.add(Settings.nodes(1, true, Settings.member(cache, "ready"),
                Settings.member(parent, "ready"),
                Settings.member(origin, "ready")));
        Director director =
                Director.start("n1", Settings.configuration(channel.address(), channel.known(), Settings.ORDER));
        int answered = 0;
        try (Client client = new Client(director.port)) {
            List<CompletableFuture<Client.Answer>> slow = new ArrayList<>();
            slow.add(client.send(Client.page("5"), new byte[0]));
            Kit.sleep(SLOW_MS / 2);
            slow.add(client.send(Client.page("5"), new byte[0]));
            for (int i = 0; i < ROUNDS && unanswered == 0 && !client.mustGo(); i++) {
                for (int k = 0; k < slow.size(); k++) {
                    if (slow.get(k).isDone()) {
                        answered += check("slow request", slow.get(k), 0, i);
                        slow.set(k, client.send(Client.page("5"), new byte[0]));
                    }
                }
                if (Kit.trouble() && !client.ready(1000)) {
                    record.line("the director says that it is not ready, round " + i);
                }
                answered += check("request", client.send(Client.page("0"), new byte[0]), 3600, i);
            }
            for (CompletableFuture<Client.Answer> each : slow) {
                answered += check("slow request", each, 3600, ROUNDS);
            }
        }
        record.line("answered: " + answered + ", taken and not answered: " + unanswered);
        return answered == 0 ? Case.COULD_NOT_RUN : unanswered > 0 ? Case.BROKEN : Case.HELD;
    }

    private int check(String what, CompletableFuture<Client.Answer> answer, long waitMs, int round) {
        long sentMs = record.ms();
        Client.Answer got = Client.await(answer, waitMs);
        boolean crossedClose = got.code == Client.ENDED && record.ms() - sentMs <= CROSSING_MS;
        if (crossedClose) {
            record.line(what + " of round " + round + " crossed a close: it may be sent again");
            return 0;
        }
        if (got.code == Client.ENDED || got.code == Client.NOTHING) {
            unanswered++;
            record.line(what + " of round " + round + ": " + got.name() + ", " + (record.ms() - sentMs)
                    + " ms after it was written");
            return 0;
        }
        if (got.code != Client.SERVED) {
            record.line(what + " of round " + round + " is " + got.name());
        }
        return 1;
    }

    /** A sound cache; part 5 takes longer to send. */
    private static void serve(Server.Want want) {
        Kit.daemon("answer", () -> {
            try {
                if (want.field("seg").equals("5")) {
                    Kit.sleep(SLOW_MS);
                }
                want.answer("DONE", "res=HIT,etag=" + want.field("obj") + ",made=" + System.currentTimeMillis(),
                        want.field("obj").getBytes());
            } catch (java.io.IOException gone) {
                // the director has closed the connection
            }
        });
    }
}
