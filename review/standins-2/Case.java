package standins2;

import java.nio.file.Path;

/** Runs one case: ends its processes however it ends, and ends it with 2 if it could not run or took too long. */
public final class Case {

    public static final int HELD = 0;
    public static final int BROKEN = 1;
    public static final int COULD_NOT_RUN = 2;

    private static final long MAX_MS = 110_000;

    /** The work of a case; returns one of the statuses above. */
    public interface Work {
        int run(Record record) throws Exception;
    }

    private Case() {}

    /** Runs a case that writes its record into the folder {@code args[0]}, and ends this process with its status. */
    public static void main(String[] args, Work work) throws Exception {
        Record record = new Record(Path.of(args[0], "record.txt"));
        Runtime.getRuntime().addShutdownHook(new Thread(Director::endAll));
        Kit.daemon("limit", () -> {
            Kit.sleep(MAX_MS);
            record.line("could not run: no end after " + MAX_MS + " ms");
            System.exit(COULD_NOT_RUN);
        });
        int status = COULD_NOT_RUN;
        try {
            status = work.run(record);
        } catch (Exception failure) {
            record.line("could not run: " + failure);
        }
        record.line(status == HELD ? "the rule held" : status == BROKEN ? "the rule was broken" : "could not run");
        System.exit(status);
    }
}
