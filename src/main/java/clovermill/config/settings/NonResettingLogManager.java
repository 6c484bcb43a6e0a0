package clovermill.config.settings;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers until the process exits. The JVM's default one removes them as soon as shutdown
 * begins, but a director runs for seconds after that, and operators' calls during that time must be logged. The JVM
 * creates an instance if {@code java.util.logging.manager} names this class before anything is logged.
 */
public final class NonResettingLogManager extends LogManager {

    /** Does nothing; the JVM calls this at shutdown only. */
    @Override
    public void reset() {}
}
