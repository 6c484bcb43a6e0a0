package clovermill.simulation.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Connects routers to the simulator: reads batches of events line by line and writes one reply for each batch. {@link
 * RouterHost} manages the routers, {@link EventReader} parses events, and {@link ActionWriter} formats actions.
 */
public final class Adapter {

    private final LineReader lines;
    private final OutputStream output;
    private final ActionWriter actions = new ActionWriter();
    private final EndpointLists lists = new EndpointLists();
    private final RouterHost routers = new RouterHost(new EventReader(lists), actions);

    /** Creates an adapter that reads batches from one stream and writes replies to the other; it closes neither. */
    public Adapter(InputStream input, OutputStream output) {
        this.lines = new LineReader(input);
        this.output = output;
    }

    /**
     * Processes batches until the input ends.
     *
     * @throws MalformedInput if a line violates the protocol
     * @throws IOException if a stream fails
     */
    public void run() throws IOException {
        for (String line = lines.next(); line != null; line = lines.next()) {
            Fields fields = new Fields(line, lines.number());
            if (!fields.text().equals("BEGIN_BATCH")) {
                throw fields.malformed("expected the start of a batch");
            }
            readBatch(fields.int64());
            output.write(actions.takeReply().getBytes(StandardCharsets.UTF_8));
            output.flush();
        }
    }

    private void readBatch(long nowUs) throws IOException {
        while (true) {
            Fields fields = nextLine();
            String message = fields.text();
            if (message.equals("EOB")) {
                return;
            }
            if (message.equals("DIRECTORY")) {
                readList(fields);
            } else {
                routers.handle(nowUs, message, fields);
            }
        }
    }

    private void readList(Fields header) throws IOException {
        int list = header.int32();
        int count = header.int32();
        EndpointLists.Builder builder = lists.begin(list);
        for (int i = 0; i < count; i++) {
            builder.add(nextLine());
        }
        builder.finish();
    }

    private Fields nextLine() throws IOException {
        String line = lines.next();
        if (line == null) {
            throw new MalformedInput("line " + (lines.number() + 1) + ": input ended within a batch");
        }
        return new Fields(line, lines.number());
    }
}
