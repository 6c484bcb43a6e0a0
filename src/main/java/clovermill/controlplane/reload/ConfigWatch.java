package clovermill.controlplane.reload;

import java.util.Optional;

/**
 * Decides when the configuration file is read and when a warning is logged, from the file's attributes at each check.
 *
 * <p>A file is read at the check that finds it changed, and again at the next check, as a second write of the same size
 * within one tick of the file system's time does not change the attributes. An invalid file is logged only at that
 * second read, since it may have been half written at the first. Does no I/O. Not thread-safe.
 */
final class ConfigWatch {

    /**
     * The attributes by which a change is detected.
     *
     * @param identity the identity of the file (the inode, for example)
     * @param sizeBytes the size
     * @param modifiedNanos the modification time; compared for equality only
     */
    record Attributes(Object identity, long sizeBytes, long modifiedNanos) {}

    private Optional<Attributes> last;
    /** True if the last attributes were found by at least two checks. */
    private boolean settled = true;
    private boolean warned;
    private int checksMissing;
    private int readsFailed;

    /** Creates a watch that considers the file with these attributes as read; empty if there is no file. */
    ConfigWatch(Optional<Attributes> known) {
        this.last = known;
    }

    /** Makes the next check read the file even if it is unchanged. */
    void forceRead() {
        last = Optional.empty();
        warned = false;
        checksMissing = 0;
        readsFailed = 0;
    }

    /** Makes the next check read the file again, after a temporary failure (no descriptor, for example). */
    void readFailed() {
        settled = false;
        readsFailed++;
    }

    /**
     * Returns whether the file is to be read at this check.
     *
     * @param current its attributes; empty if there is no file
     */
    boolean shouldRead(Optional<Attributes> current) {
        if (current.isEmpty()) {
            checksMissing++;
            return false;
        }
        checksMissing = 0;
        if (!current.equals(last)) {
            last = current;
            settled = false;
            warned = false;
            readsFailed = 0;
            return true;
        }
        boolean secondRead = !settled;
        settled = true;
        return secondRead;
    }

    /** Returns whether to log a failed read or a missing file, which is done once for each such state. */
    boolean shouldWarn() {
        boolean persistent = checksMissing > 0 ? checksMissing > 1 : settled || readsFailed > 1;
        boolean warn = persistent && !warned;
        warned |= persistent;
        return warn;
    }
}
