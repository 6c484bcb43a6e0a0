package standins2;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * A client that reads slowly asks for parts of a video, and for one more while the answers still come. Does it get each
 * answer whole?
 */
public final class SlowReader {

    /** Within the "at most 1 MB a second" of slow clients. */
    private static final int BYTES_PER_S = 250_000;
    private static final int PARTS = 12;
    private static final int PART_BYTES = 200_000;
    private static final long FURTHER_AT_MS = 8000;
    private static final int ROUNDS = 3;

    private final Record record;
    private int whole;
    private int lost;

    private SlowReader(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        Case.main(args, record -> new SlowReader(record).run());
    }

    private int run() throws Exception {
        Server origin = new Server("o-1", SlowReader::serve);
        Server parent = new Server("p-1", SlowReader::serve);
        Server cache = new Server("s-1", SlowReader::serve);
        Channel channel = new Channel(record);
        channel.add(Settings.nodes(1, true, Settings.member(cache, "ready"), Settings.member(parent, "ready"),
                Settings.member(origin, "ready")));
        Director director = Director.start("n1",
                Settings.configuration(channel.address(), channel.known(), Settings.ORDER));
        for (int i = 0; i < ROUNDS; i++) {
            round(director);
        }
        record.line("answers whole: " + whole + ", requests lost: " + lost);
        return whole == 0 ? Case.COULD_NOT_RUN : lost > 0 ? Case.BROKEN : Case.HELD;
    }

    private void round(Director director) throws Exception {
        long startMs = record.ms();
        List<CompletableFuture<Client.Answer>> answers = new ArrayList<>();
        try (Client client = new Client(director.port, Kit.trouble() ? BYTES_PER_S : 0)) {
            for (int part = 0; part < PARTS; part++) {
                answers.add(client.send(video(part), new byte[0]));
            }
            record.line("client: asks for " + PARTS + " parts on one connection");
            while (record.ms() - startMs < FURTHER_AT_MS && client.open() > 0) {
                Kit.sleep(10);
            }
            if (client.open() > 0) {
                record.line("client: asks for a further part; " + client.open()
                        + " answers are still on their way, as fast as it reads");
                answers.add(client.send(video(PARTS), new byte[0]));
            }
            for (int i = 0; i < answers.size(); i++) {
                Client.Answer answer = Client.await(answers.get(i), 30_000);
                boolean complete = answer.code == Client.SERVED && answer.body.length == PART_BYTES;
                whole += complete ? 1 : 0;
                if (answer.code == Client.ENDED || answer.code == Client.NOTHING) {
                    lost++;
                }
                if (!complete) {
                    record.line("client: part " + i + ": " + answer.name() + ", " + (record.ms() - startMs)
                            + " ms after the start");
                }
            }
        }
    }

    private static Map<String, String> video(int part) {
        Map<String, String> fields = Client.page(Integer.toString(part));
        fields.put("class", "video");
        fields.put("wait", "6000");
        return fields;
    }

    private static void serve(Server.Want want) throws Exception {
        want.answer("DONE", "res=HIT,etag=" + want.field("obj") + ",made=" + System.currentTimeMillis(),
                new byte[PART_BYTES]);
    }
}
