import java.nio.file.Path;

/** The end of a case: the exit status that its script turns into its own. */
final class Verdict {

    static final int HELD = 0;
    static final int BROKEN = 10;
    static final int NOT_RUN = 2;

    /** A case: returns one of the values above. */
    interface Case {
        int run(boolean trouble, Path folder, Record record) throws Exception;
    }

    private Verdict() {}

    /** Runs a case with its own folder, for the record, and a temporary one; ends the process. */
    static void of(String[] args, Case one) {
        int status = NOT_RUN;
        try (Record record = new Record(args[0])) {
            try {
                status = one.run(!"0".equals(System.getenv("TROUBLE")), Path.of(args[1]), record);
            } catch (Throwable fault) {
                record.say("the case could not run: " + fault);
                fault.printStackTrace();
            }
            Director.endAll();
        } catch (Exception fault) {
            fault.printStackTrace();
            status = NOT_RUN;
        }
        Runtime.getRuntime().halt(status);
    }
}
