package clovermill.director.operate;

import clovermill.cache.CachePool;
import clovermill.channel.Roster;
import clovermill.front.FrameFront;
import clovermill.net.Clock;
import clovermill.net.Deadlines;
import clovermill.net.RecurringTask;
import clovermill.outage.OutageFolder;
import clovermill.outage.OutageMarks;
import clovermill.upgrade.Presence;
import clovermill.upgrade.Shares;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Path;

/**
 * What the processes of one director have in common while one takes over from the other: the outages that operators
 * have called for, and the descriptors. Each looks at their folder a few times a second.
 */
public final class Sharing {

    private static final System.Logger LOG = System.getLogger(Sharing.class.getName());
    /** A fifth of the time in which nothing more may go to a cache that was taken out at the other process. */
    private static final long LOOK_US = 100_000;

    private final OutageFolder outages;
    private final Presence presence;
    private final Shares shares;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Roster roster;
    private final FrameFront front;
    private final CachePool pool;
    private Presence.Others others = Presence.Others.NONE;

    /** Shares by a folder; null if that is null, or, with a line in the log, if it cannot be used. */
    public static Sharing open(Path folder, Shares shares, Clock clock, Deadlines deadlines,
            Roster roster, FrameFront front, CachePool pool) {
        try {
            return folder == null ? null : new Sharing(folder, shares, clock, deadlines, roster, front, pool);
        } catch (IOException unusable) {
            LOG.log(Level.WARNING, "TMPDIR cannot be used, so the next process will not know which caches are out: {0}",
                    unusable.toString());
            return null;
        }
    }

    private Sharing(Path folder, Shares shares, Clock clock, Deadlines deadlines, Roster roster, FrameFront front,
            CachePool pool) throws IOException {
        this.outages = new OutageFolder(folder, clock::micros);
        this.presence = Presence.ofThisProcess(folder);
        this.shares = shares;
        this.clock = clock;
        this.deadlines = deadlines;
        this.roster = roster;
        this.front = front;
        this.pool = pool;
    }

    /** Where outages are marked. */
    public OutageMarks marks() {
        return outages;
    }

    /** Takes over which caches are out. */
    public void catchUp() {
        OutageFolder.Marks marks = outages.look();
        if (marks != null) {
            roster.outages(marks.out(), marks.back());
        }
    }

    /** Takes over what an earlier process left, and from then on what the other one marks. */
    public void start() {
        RecurringTask.start(deadlines, clock, LOOK_US, this::look);
    }

    private void look() {
        catchUp();
        presence.markReady(front.ready(), clock.micros());
        Presence.Others now = presence.look();
        if (now != others) {
            others = now;
            boolean beside = now != Presence.Others.NONE;
            front.limit(shares.clients(beside));
            pool.limit(shares.members(beside));
            // Of a successor that ends before this process is asked to leave, the connections come here again.
            front.accepting(now != Presence.Others.SUCCESSOR);
            LOG.log(Level.INFO, switch (now) {
                case NONE -> "this process is alone again";
                case BESIDE -> "another process of this director is here";
                case SUCCESSOR -> "the next process of this director is ready and takes new connections";
            });
        }
    }

    /** This process ends. */
    public void close() {
        presence.leave();
    }
}
