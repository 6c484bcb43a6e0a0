package clovermill.director.operations;

import clovermill.controlplane.discovery.DiscoveryClient;
import clovermill.controlplane.discovery.DiscoverySettings;
import clovermill.controlplane.discovery.EndpointRegistry;
import clovermill.controlplane.handover.DescriptorShares;
import clovermill.controlplane.handover.OtherProcess;
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
import java.util.Optional;

/**
 * Coordinates two processes of one director during a handover: both apply the outages that operators set at either, the
 * later one takes over what the earlier one knows from discovery, and they divide the file descriptors. Each polls a
 * shared folder several times a second.
 */
public final class HandoverCoordinator {

    private static final System.Logger LOG = System.getLogger(HandoverCoordinator.class.getName());
    /** A fifth of the time within which requests to a cache that was disabled at the other process must be stopped. */
    private static final long CHECK_INTERVAL_US = 100_000;

    private final OutageFolder outages;
    private final ProcessRegistry processes;
    private final DescriptorShares descriptors;
    private final Clock clock;
    private final Deadlines deadlines;
    private final EndpointRegistry registry;
    private final FrameServer server;
    private final UpstreamPool pool;
    private final EndpointListHandover endpointList;
    private OtherProcess otherProcess = OtherProcess.NONE;
    private boolean hasServed;

    /**
     * Joins the processes that share {@code folder}.
     *
     * @return the coordinator, or empty (with a log message) if the folder cannot be used
     */
    public static Optional<HandoverCoordinator> open(Path folder, DescriptorShares descriptors, Clock clock,
            Deadlines deadlines, EndpointRegistry registry, DiscoveryClient discovery,
            DiscoverySettings discoverySettings, FrameServer server, UpstreamPool pool) {
        try {
            return Optional.of(new HandoverCoordinator(folder, descriptors, clock, deadlines, registry, discovery,
                    discoverySettings, server, pool));
        } catch (IOException unusable) {
            LOG.log(Level.WARNING, "TMPDIR cannot be used, so the next process will not know which caches are out: {0}",
                    unusable.toString());
            return Optional.empty();
        }
    }

    private HandoverCoordinator(Path folder, DescriptorShares descriptors, Clock clock, Deadlines deadlines,
            EndpointRegistry registry, DiscoveryClient discovery, DiscoverySettings discoverySettings,
            FrameServer server, UpstreamPool pool) throws IOException {
        this.outages = new OutageFolder(folder, clock::micros);
        this.endpointList = new EndpointListHandover(folder, ProcessHandle.current().pid(), clock, registry, discovery,
                discoverySettings);
        this.processes = ProcessRegistry.ofThisProcess(folder);
        this.descriptors = descriptors;
        this.clock = clock;
        this.deadlines = deadlines;
        this.registry = registry;
        this.server = server;
        this.pool = pool;
    }

    /** Returns whether a process of this director that started before this one still runs. */
    public boolean hasPredecessor() {
        return processes.hasPredecessor();
    }

    /** Returns the outage marks in the shared folder. */
    public OutageMarks marks() {
        return outages;
    }

    /** Retries this process's marks that could not be written, then applies those of the other process. */
    public void syncOutages() {
        outages.retryPending();
        outages.readIfChanged()
                .ifPresent(snapshot -> registry.mergeOutages(snapshot.disabledIds(), snapshot.enableStampsUnixMs()));
    }

    /** Starts the periodic checks; the first applies the marks of an earlier process. */
    public void start() {
        RecurringTask.start(deadlines, clock, CHECK_INTERVAL_US, this::check);
    }

    private void check() {
        syncOutages();
        boolean ready = server.isReady();
        hasServed |= ready;
        if (ready) {
            endpointList.publish(processes.findStartingSuccessor());
        } else if (!hasServed) {
            endpointList.adopt();
        }
        processes.markReady(ready, clock.micros());
        OtherProcess observed = processes.findOther();
        if (observed != otherProcess) {
            otherProcess = observed;
            applyOtherProcess();
        }
    }

    private void applyOtherProcess() {
        boolean besideAnother = otherProcess != OtherProcess.NONE;
        server.setMaxConnections(descriptors.clientConnections(besideAnother));
        pool.setMaxConnections(descriptors.endpointConnections(besideAnother));
        // If a successor ends before this process is asked to shut down, new connections are accepted here again.
        server.setAccepting(otherProcess != OtherProcess.SUCCESSOR);
        LOG.log(Level.INFO, switch (otherProcess) {
            case NONE -> "this process is alone again";
            case PRESENT -> "another process of this director is here";
            case SUCCESSOR -> "the next process of this director is ready and takes new connections";
        });
    }

    /** Removes this process from the shared folder, when it exits. */
    public void close() {
        endpointList.close();
        processes.deregister();
    }
}
