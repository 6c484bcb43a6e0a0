package clovermill.storage;

/**
 * Named places at which a proof stops the process dead, as SIGKILL would. In service a call does nothing: the
 * property is read once, and without it the JVM leaves the test away.
 */
public final class CrashPoint {

    /** {@code NAME}, or {@code NAME:N} for the Nth time that place is reached. */
    public static final String PROPERTY = "clovermill.crash";

    private static final String WANTED = System.getProperty(PROPERTY);
    private static final String NAME = WANTED == null ? null : WANTED.split(":")[0];
    private static int left = WANTED == null || !WANTED.contains(":") ? 1 : Integer.parseInt(WANTED.split(":")[1]);

    private CrashPoint() {}

    /** The process ends here, without any further step, if this place and time were asked for. */
    public static void reached(String name) {
        if (NAME != null && NAME.equals(name)) {
            stop();
        }
    }

    private static synchronized void stop() {
        if (--left == 0) {
            Runtime.getRuntime().halt(137);
        }
    }
}
