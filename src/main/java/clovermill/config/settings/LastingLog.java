package clovermill.config.settings;

import java.util.logging.LogManager;

/**
 * The JVM's log manager takes its handlers away as soon as the process is asked to end. A director goes on for seconds
 * then, and what operators call meanwhile belongs in its log: here the handlers stay to the end. The JVM makes one
 * where {@code java.util.logging.manager} names this class before anything is logged.
 */
public final class LastingLog extends LogManager {

    /** Only the end of the process asks for this. */
    @Override
    public void reset() {}
}
