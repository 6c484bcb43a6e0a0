package clovermill.storage;

/**
 * Named places at which a test kills the process, as SIGKILL would. In production a call does nothing: the property
 * is read once, and without it the JIT compiler removes the check.
 */
public final class CrashPoint {

    /**
     * The system property that selects a crash point: {@code NAME}, or {@code NAME:N} for the Nth time that it is
     * reached.
     */
    public static final String PROPERTY = "clovermill.crash";

    private static final String SELECTED = System.getProperty(PROPERTY);
    private static final String NAME = SELECTED == null ? null : SELECTED.split(":")[0];
    private static int remaining =
            SELECTED == null || !SELECTED.contains(":") ? 1 : Integer.parseInt(SELECTED.split(":")[1]);

    private CrashPoint() {}

    /** Halts the process without any further step if this crash point is selected and its count is reached. */
    public static void reached(String name) {
        if (NAME != null && NAME.equals(name)) {
            halt();
        }
    }

    private static synchronized void halt() {
        if (--remaining == 0) {
            Runtime.getRuntime().halt(137);
        }
    }
}
