package clovermill.prove.scale;

import clovermill.prove.DirectorProcess;
import clovermill.prove.scale.Topology.Part;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.List;

/** All counters of a cluster at one time; figures are differences of two snapshots. */
record Snapshot(long atNs, LinkEmulator.Counts fleet, LinkEmulator.Counts accord, DiscoveryEndpoint.Counts discovery,
        long discoveryNs, long hollowProcessNs, long hollowThreadNs, long ticks, long lateTicks, double realIdleNs,
        double realLoadedNs, double realAccordNs, double twinsIdleNs, double twinsLoadedNs, double votersNs,
        ProcessTable.Cores cores, long droppedDatagrams, long linkFaults) {

    private static final String ACCORD_THREAD = "policy-store";

    static Snapshot of(Cluster cluster, TickProbe probe) throws IOException {
        long processNs = 0;
        long threadNs = 0;
        long ticks = probe.ticks();
        long late = probe.late();
        for (HollowProcessHandle each : cluster.hollow()) {
            HollowFigures figures = each.figures(false);
            processNs += figures.processNs();
            threadNs += figures.threadNs();
            ticks += figures.ticks();
            late += figures.lateTicks();
        }
        List<DirectorProcess> voters = cluster.real().subList(0, Math.min(Cluster.VOTERS, cluster.real().size()));
        return new Snapshot(System.nanoTime(), cluster.links().counts(Part.FLEET), cluster.links().counts(Part.ACCORD),
                cluster.discovery().counts(),
                ManagementFactory.getThreadMXBean().getThreadCpuTime(cluster.discovery().threadId()), processNs,
                threadNs, ticks, late, meanNs(cluster.realIdle()), meanNs(cluster.realLoaded()),
                cluster.realIdle().stream().mapToLong(each -> ProcessTable.cpuNs(each.process.pid(),
                        ACCORD_THREAD)).average().orElse(0),
                meanNs(cluster.twinsIdle()), meanNs(cluster.twinsLoaded()), meanNs(voters), ProcessTable.cores(),
                ProcessTable.droppedDatagrams(), cluster.links().faults());
    }

    private static double meanNs(List<DirectorProcess> processes) {
        return processes.stream().mapToLong(each -> ProcessTable.cpuNs(each.process.pid())).average().orElse(0);
    }

    double secondsSince(Snapshot before) {
        return (atNs - before.atNs) / 1e9;
    }

    /** Returns why figures since an earlier snapshot are void, or null if they are valid. */
    String overloadSince(Snapshot before) {
        double late = (double) (lateTicks - before.lateTicks) / Math.max(1, ticks - before.ticks);
        double idle = cores.idleSince(before.cores);
        if (late > MAX_LATE) {
            return String.format("%.1f%% of the probe's ticks came late", 100 * late);
        }
        return idle < MIN_IDLE ? String.format("cores were idle for %.0f%% of the time only", 100 * idle) : null;
    }

    /** Maximum share of late ticks and minimum share of idle time; beyond them, the machine counts as overloaded. */
    static final double MAX_LATE = 0.01;
    static final double MIN_IDLE = 0.15;
}
