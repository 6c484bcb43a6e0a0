package clovermill.director;

import clovermill.net.Clock;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.lang.System.Logger.Level;
import java.nio.charset.CharacterCodingException;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;

/**
 * Tries again what the machine may refuse for a moment while the process starts: a descriptor (EMFILE, ENFILE), memory
 * of the kernel (ENOBUFS, ENOMEM) or an address (EADDRINUSE, EADDRNOTAVAIL). Java tells these apart by the text of the
 * message only, so each I/O error is tried again but those that have a type of their own and last. One bound holds
 * for all resources of a start. Used by
 * the thread that starts the process, before its event loop runs.
 */
final class StartupRetry {

    /** How long a start tries, in microseconds: a director is to be ready within 6 s on short days. */
    static final long BOUND_MICROS = 5_000_000;
    /** Between two attempts, in microseconds. */
    static final long PAUSE_MICROS = 50_000;

    private static final System.Logger LOG = System.getLogger(StartupRetry.class.getName());

    /** One attempt to get a resource. */
    interface Attempt<T> {
        T run() throws IOException;
    }

    private final Clock clock;
    private final LongConsumer pause;
    private final long untilMicros;

    /** The bound begins now. */
    StartupRetry(Clock clock) {
        this(clock, micros -> LockSupport.parkNanos(micros * 1000));
    }

    /** {@code pause} waits for so many microseconds. */
    StartupRetry(Clock clock, LongConsumer pause) {
        this.clock = clock;
        this.pause = pause;
        this.untilMicros = clock.micros() + BOUND_MICROS;
    }

    /**
     * Returns what the first attempt that succeeds gives.
     *
     * @param resource what is to be had, for the log
     * @throws IOException the failure of the last attempt, once the bound is over
     */
    <T> T get(String resource, Attempt<T> attempt) throws IOException {
        boolean logged = false;
        while (true) {
            try {
                return attempt.run();
            } catch (IOException failure) {
                long leftMicros = untilMicros - clock.micros();
                if (leftMicros <= 0 || lasts(failure)) {
                    throw failure;
                }
                if (!logged) {
                    LOG.log(Level.WARNING, "{0} cannot be had yet ({1}): tried again for {2} ms", resource,
                            failure.getMessage(), Long.toString(leftMicros / 1000));
                    logged = true;
                }
                pause.accept(Math.min(PAUSE_MICROS, leftMicros));
                if (Thread.currentThread().isInterrupted()) {
                    throw new InterruptedIOException(resource + ": interrupted");
                }
            }
        }
    }

    /** A file that is not there, is not to be read or holds no text will not be had a moment later. */
    private static boolean lasts(IOException failure) {
        return failure instanceof NoSuchFileException || failure instanceof AccessDeniedException
                || failure instanceof CharacterCodingException;
    }
}
