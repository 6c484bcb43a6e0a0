package clovermill.reload;

/**
 * Decides when the configuration file is read and when what was read is worth a warning. It is told what the
 * file looks like from outside, again and again, and reads nothing itself.
 *
 * <p>A file is read at the look that finds it changed, and once more at the next: a second write within the
 * file system's tick of time leaves the same stamp if the size is the same. One that cannot be used is warned of
 * only at that second reading, since it may have been half written at the first. Not thread-safe.
 */
final class ConfigWatch {

    /** A file from outside: its identity (the inode, say), its size in bytes and its time in nanoseconds. */
    record Stamp(Object identity, long size, long modifiedNs) {}

    private Stamp last;
    private boolean settled = true;
    private boolean warned;
    private int missed;
    private int unread;

    /** Takes the file of that look as known, without its being read. */
    ConfigWatch(Stamp known) {
        this.last = known;
    }

    /** Has the next look read the file in any case. */
    void forget() {
        last = null;
        warned = false;
        missed = 0;
        unread = 0;
    }

    /** What was to be read could not be read for now (no descriptor, say): the next look reads it again. */
    void unread() {
        settled = false;
        unread++;
    }

    /** Whether the file is to be read now; {@code seen} is null where there is none. */
    boolean look(Stamp seen) {
        if (seen == null) {
            missed++;
            return false;
        }
        missed = 0;
        if (!seen.equals(last)) {
            last = seen;
            settled = false;
            warned = false;
            unread = 0;
            return true;
        }
        boolean again = !settled;
        settled = true;
        return again;
    }

    /** After a reading that failed, or a look that found no file: whether to say so, once for each such state. */
    boolean warns() {
        boolean lasting = missed > 0 ? missed > 1 : settled || unread > 1;
        boolean says = lasting && !warned;
        warned |= lasting;
        return says;
    }
}
