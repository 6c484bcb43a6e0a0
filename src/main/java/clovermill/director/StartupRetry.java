package clovermill.director;

import clovermill.runtime.net.Clock;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.lang.System.Logger.Level;
import java.nio.charset.CharacterCodingException;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;

/**
 * Retries system resources that may be temporarily unavailable while the process starts: a descriptor (EMFILE, ENFILE),
 * kernel memory (ENOBUFS, ENOMEM) or an address (EADDRINUSE, EADDRNOTAVAIL). Java distinguishes these only by the text
 * of the message, so every I/O error is retried except the types that are known to be permanent. One time limit applies
 * to all resources of a start together. Used by the thread that starts the process, before its event loop runs.
 */
final class StartupRetry {

    /** Time limit for all retries of a start: a director must be ready within 6 s on short days. */
    static final long TIMEOUT_US = 5_000_000;
    static final long RETRY_INTERVAL_US = 50_000;

    private static final System.Logger LOG = System.getLogger(StartupRetry.class.getName());

    /** One attempt to get a resource. */
    interface Attempt<T> {

        /** Returns the resource, or throws if it is not available. */
        T run() throws IOException;
    }

    private final Clock clock;
    private final LongConsumer pause;
    private final long retryUntilUs;

    /** Starts the time limit now. */
    StartupRetry(Clock clock) {
        this(clock, micros -> LockSupport.parkNanos(micros * 1000));
    }

    /** Starts the time limit now; {@code pause} waits for the given number of microseconds. */
    StartupRetry(Clock clock, LongConsumer pause) {
        this.clock = clock;
        this.pause = pause;
        this.retryUntilUs = clock.micros() + TIMEOUT_US;
    }

    /**
     * Returns the result of the first attempt that succeeds.
     *
     * @param resource the name of the resource in the log
     * @throws IOException the failure of the last attempt, after the time limit or if it is permanent
     */
    <T> T get(String resource, Attempt<T> attempt) throws IOException {
        boolean logged = false;
        while (true) {
            try {
                return attempt.run();
            } catch (IOException failure) {
                long remainingUs = retryUntilUs - clock.micros();
                if (remainingUs <= 0 || permanent(failure)) {
                    throw failure;
                }
                if (!logged) {
                    LOG.log(Level.WARNING, "{0} is not available yet ({1}): retrying for {2} ms", resource,
                            failure.getMessage(), Long.toString(remainingUs / 1000));
                    logged = true;
                }
                pause.accept(Math.min(RETRY_INTERVAL_US, remainingUs));
                if (Thread.currentThread().isInterrupted()) {
                    throw new InterruptedIOException(resource + ": interrupted");
                }
            }
        }
    }

    /** Returns true for a missing or unreadable file and for one that is not text: retrying cannot help. */
    private static boolean permanent(IOException failure) {
        return failure instanceof NoSuchFileException || failure instanceof AccessDeniedException
                || failure instanceof CharacterCodingException;
    }
}
