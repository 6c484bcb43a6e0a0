package clovermill.controlplane.reload;

import java.util.Optional;

/**
 * Decides when the configuration file is read and when a warning is logged, from the file's attributes at each check.
 *
 * <p>A file is read at the check that finds it changed, and once more at the next: a second write of the same size
 * within one tick of the file system's time leaves the attributes as they are. An unusable file is logged only at that
 * second reading, since it may have been half written at the first. Reads nothing itself. Not thread-safe.
 */
final class ConfigWatch {

    /**
     * The attributes that a change shows in.
     *
     * @param identity which file it is (the inode, for example)
     * @param sizeBytes its size
     * @param modifiedNanos its modification time; compared for equality only
     */
    record Attributes(Object identity, long sizeBytes, long modifiedNanos) {}

    private Optional<Attributes> last;
    /** Whether the last attributes were seen twice. */
    private boolean settled = true;
    private boolean warned;
    private int checksMissing;
    private int readsFailed;

    /** The file with these attributes counts as read; empty if there is none. */
    ConfigWatch(Optional<Attributes> known) {
        this.last = known;
    }

    /** The next check reads the file in any case. */
    void forceRead() {
        last = Optional.empty();
        warned = false;
        checksMissing = 0;
        readsFailed = 0;
    }

    /** The file could not be read for a moment (no descriptor, for example): the next check reads it again. */
    void readFailed() {
        settled = false;
        readsFailed++;
    }

    /** Whether the file is to be read at this check; {@code found} is empty where there is no file. */
    boolean shouldRead(Optional<Attributes> found) {
        if (found.isEmpty()) {
            checksMissing++;
            return false;
        }
        checksMissing = 0;
        if (!found.equals(last)) {
            last = found;
            settled = false;
            warned = false;
            readsFailed = 0;
            return true;
        }
        boolean again = !settled;
        settled = true;
        return again;
    }

    /** After a failed reading, or a check that found no file: whether to log it, once for each such state. */
    boolean shouldWarn() {
        boolean lasting = checksMissing > 0 ? checksMissing > 1 : settled || readsFailed > 1;
        boolean warn = lasting && !warned;
        warned |= lasting;
        return warn;
    }
}
