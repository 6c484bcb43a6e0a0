package clovermill.director.operations;

import clovermill.controlplane.discovery.EndpointRegistry;
import clovermill.controlplane.handover.DescriptorShares;
import clovermill.controlplane.handover.ProcessRegistry;
import clovermill.controlplane.outage.OutageFolder;
import clovermill.controlplane.outage.OutageMarks;
import clovermill.dataplane.server.FrameServer;
import clovermill.dataplane.upstream.UpstreamPool;
import clovermill.runtime.net.Clock;
import clovermill.runtime.net.Deadlines;
import clovermill.runtime.net.RecurringTask;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Path;

/**
 * What the processes of one director have in common while one takes over from the other: the outages that operators
 * have called for, and the descriptors. Each looks at their folder a few times a second.
 */
public final class HandoverCoordinator {

    private static final System.Logger LOG = System.getLogger(HandoverCoordinator.class.getName());
    /** A fifth of the time in which nothing more may go to a cache that was taken out at the other process. */
    private static final long LOOK_US = 100_000;

    private final OutageFolder outages;
    private final ProcessRegistry presence;
    private final DescriptorShares shares;
    private final Clock clock;
    private final Deadlines deadlines;
    private final EndpointRegistry roster;
    private final FrameServer front;
    private final UpstreamPool pool;
    private ProcessRegistry.Others others = ProcessRegistry.Others.NONE;

    /** Shares by a folder; null if that is null, or, with a line in the log, if it cannot be used. */
    public static HandoverCoordinator open(Path folder, DescriptorShares shares, Clock clock, Deadlines deadlines,
            EndpointRegistry roster, FrameServer front, UpstreamPool pool) {
        try {
            return folder == null ? null
                    : new HandoverCoordinator(folder, shares, clock, deadlines, roster, front, pool);
        } catch (IOException unusable) {
            LOG.log(Level.WARNING, "TMPDIR cannot be used, so the next process will not know which caches are out: {0}",
                    unusable.toString());
            return null;
        }
    }

    private HandoverCoordinator(Path folder, DescriptorShares shares, Clock clock, Deadlines deadlines,
            EndpointRegistry roster, FrameServer front,
            UpstreamPool pool) throws IOException {
        this.outages = new OutageFolder(folder, clock::micros);
        this.presence = ProcessRegistry.ofThisProcess(folder);
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

    /** Takes over which caches are out, after the marks of this process that could not be written are tried again. */
    public void catchUp() {
        outages.retryPending();
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
        ProcessRegistry.Others now = presence.look();
        if (now != others) {
            others = now;
            boolean beside = now != ProcessRegistry.Others.NONE;
            front.limit(shares.clients(beside));
            pool.limit(shares.members(beside));
            // Of a successor that ends before this process is asked to leave, the connections come here again.
            front.accepting(now != ProcessRegistry.Others.SUCCESSOR);
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
