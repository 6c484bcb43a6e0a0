package clovermill.prove.scale;

import clovermill.prove.DirectorProcess;
import java.io.IOException;
import java.util.List;
import java.util.function.IntPredicate;

/** Adds figures of traffic and resource use between two snapshots of a cluster, by kind of director. */
final class TrafficFigures {

    private final Cluster cluster;
    private final Figures figures;
    private final Snapshot before;
    private final Snapshot after;

    TrafficFigures(Cluster cluster, Figures figures, Snapshot before, Snapshot after) {
        this.cluster = cluster;
        this.figures = figures;
        this.before = before;
        this.after = after;
    }

    /** Adds all figures of the interval. */
    void add() {
        traffic();
        cpu();
        machine();
    }

    private void traffic() {
        int voters = Cluster.VOTERS;
        IntPredicate isReal = i -> i >= voters && i < cluster.shape().real();
        IntPredicate isHollow = i -> i >= Math.max(voters, cluster.shape().real());
        traffic(Figures.HOLLOW, isHollow);
        if (cluster.shape().real() > voters) {
            traffic(Figures.REAL, isReal);
        }
        traffic(Figures.VOTER, i -> i < voters);
        busiestVoter();
        double seconds = after.secondsSince(before);
        DiscoveryEndpoint.Counts a = before.discovery();
        DiscoveryEndpoint.Counts b = after.discovery();
        figures.add("discovery", "connections_most", cluster.discovery().maxConnections(), "connections", "");
        figures.add("discovery", "bytes_out", (b.bytesOut() - a.bytesOut()) / seconds, "B/s", "all connections");
        figures.add("discovery", "bytes_in", (b.bytesIn() - a.bytesIn()) / seconds, "B/s", "all connections");
        figures.add("discovery", "cpu_pct", (after.discoveryNs() - before.discoveryNs()) / seconds / 1e7, "%",
                "thread time of the stand-in endpoint");
    }

    private void traffic(String kind, IntPredicate member) {
        double seconds = after.secondsSince(before);
        double[] fleet = rates(before.fleet(), after.fleet(), member, seconds);
        double[] accord = rates(before.accord(), after.accord(), member, seconds);
        double each = Math.max(1, cluster.discovery().connections()) * seconds;
        double channelOut = (after.discovery().bytesIn() - before.discovery().bytesIn()) / each;
        double channelIn = (after.discovery().bytesOut() - before.discovery().bytesOut()) / each;
        figures.add(kind, "datagrams_out", fleet[0] + accord[0], "1/s", "fleet and accord");
        figures.add(kind, "datagrams_in", fleet[2] + accord[2], "1/s", "fleet and accord");
        figures.add(kind, "bytes_out", fleet[1] + accord[1] + channelOut, "B/s", "fleet and accord and channel");
        figures.add(kind, "bytes_in", fleet[3] + accord[3] + channelIn, "B/s", "fleet and accord and channel");
        figures.add(kind, "fleet_bytes_out", fleet[1], "B/s", "");
        figures.add(kind, "fleet_bytes_in", fleet[3], "B/s", "");
        figures.add(kind, "accord_bytes_out", accord[1], "B/s", "");
        figures.add(kind, "accord_bytes_in", accord[3], "B/s", "");
        figures.add(kind, "channel_bytes_out", channelOut, "B/s", "payload and 40 a read or write");
        figures.add(kind, "channel_bytes_in", channelIn, "B/s", "payload and 40 a read or write");
    }

    /** Returns datagrams out, bytes out, datagrams in and bytes in, per second and director. */
    private static double[] rates(LinkEmulator.Counts before, LinkEmulator.Counts after, IntPredicate member,
            double seconds) {
        double[] all = new double[4];
        int members = 0;
        for (int i = 0; i < after.datagramsOut().length; i++) {
            if (member.test(i)) {
                members++;
                all[0] += after.datagramsOut()[i] - before.datagramsOut()[i];
                all[1] += after.bytesOut()[i] - before.bytesOut()[i];
                all[2] += after.datagramsIn()[i] - before.datagramsIn()[i];
                all[3] += after.bytesIn()[i] - before.bytesIn()[i];
            }
        }
        for (int i = 0; i < all.length; i++) {
            all[i] /= Math.max(1, members) * seconds;
        }
        return all;
    }

    private void busiestVoter() {
        double[] most = new double[4];
        for (int i = 0; i < Cluster.VOTERS; i++) {
            int voter = i;
            double[] one = rates(before.accord(), after.accord(), each -> each == voter, after.secondsSince(before));
            for (int j = 0; j < most.length; j++) {
                most[j] = Math.max(most[j], one[j]);
            }
        }
        figures.add(Figures.VOTER, "accord_datagrams_out_most", most[0], "1/s", "the busiest voter");
        figures.add(Figures.VOTER, "accord_bytes_out_most", most[1], "B/s", "the busiest voter");
        figures.add(Figures.VOTER, "accord_datagrams_in_most", most[2], "1/s", "the busiest voter");
        figures.add(Figures.VOTER, "accord_bytes_in_most", most[3], "B/s", "the busiest voter");
    }

    private void cpu() {
        double percent = 100 / (after.secondsSince(before) * 1e9);
        double each = percent / cluster.hollowCount();
        double process = (after.hollowProcessNs() - before.hollowProcessNs()) * each;
        double threads = (after.hollowThreadNs() - before.hollowThreadNs()) * each;
        figures.add(Figures.HOLLOW, "cpu_pct", process, "%", "of a core; process time by director");
        figures.add(Figures.HOLLOW, "cpu_thread_pct", threads, "%", "of a core; the directors' own threads");
        if (cluster.realIdle().isEmpty() || cluster.twinsIdle().isEmpty()) {
            return;
        }
        double idle = (after.realIdleNs() - before.realIdleNs()) * percent;
        double idleOff = (after.twinsIdleNs() - before.twinsIdleNs()) * percent;
        double loaded = (after.realLoadedNs() - before.realLoadedNs()) * percent;
        double loadedOff = (after.twinsLoadedNs() - before.twinsLoadedNs()) * percent;
        figures.add(Figures.REAL, "cpu_pct", idle - idleOff, "%",
                "of a core; process with the parts less one without; idle");
        figures.add(Figures.REAL, "cpu_off_pct", idleOff, "%", "of a core; process without the parts; idle");
        figures.add(Figures.REAL, "cpu_loaded_pct", loaded - loadedOff, "%", "as cpu_pct with 60 requests a second");
        figures.add(Figures.REAL, "cpu_loaded_off_pct", loadedOff, "%", "as cpu_off_pct with 60 requests a second");
        double accord = (after.realAccordNs() - before.realAccordNs()) * percent;
        figures.add(Figures.REAL, "cpu_accord_thread_pct", accord, "%", "of a core; the accord's thread");
        figures.add(Figures.VOTER, "cpu_pct", (after.votersNs() - before.votersNs()) * percent - idleOff, "%",
                "of a core; mean of the voters; as real");
    }

    private void machine() {
        double seconds = after.secondsSince(before);
        double late = 100.0 * (after.lateTicks() - before.lateTicks()) / Math.max(1, after.ticks() - before.ticks());
        figures.addUnconditionally("machine", "late_ticks_pct", late, "%",
                figures.overload() == null ? "" : "overloaded: "
                        + figures.overload());
        figures.addUnconditionally("machine", "cpu_idle_pct", 100 * after.cores().idleSince(before.cores()), "%",
                "all cores");
        figures.addUnconditionally("link", "dropped_datagrams", after.droppedDatagrams() - before.droppedDatagrams(),
                "datagrams", "at full receive buffers of the machine");
        figures.addUnconditionally("link", "faults", after.linkFaults() - before.linkFaults(), "datagrams", "");
        double all = 0;
        for (long each : after.fleet().datagramsOut()) {
            all += each;
        }
        for (long each : before.fleet().datagramsOut()) {
            all -= each;
        }
        figures.addUnconditionally("link", "fleet_datagrams", all / seconds, "1/s", "all links");
    }

    /** Adds the current memory use of directors after {@code events} events; collects the heaps of hollow processes. */
    static void memory(Cluster cluster, Figures figures, int events) throws IOException {
        double resident = 0;
        double heap = 0;
        for (HollowProcessHandle each : cluster.hollow()) {
            HollowFigures now = each.figures(true);
            resident += now.residentKb() - now.residentBeforeKb();
            heap += now.heapKb() - now.heapBeforeKb();
        }
        String suffix = "; with " + events + " events so far";
        figures.add(Figures.HOLLOW, "resident_kb", resident / cluster.hollowCount(), "KB",
                "over the process without" + suffix);
        figures.add(Figures.HOLLOW, "heap_kb", heap / cluster.hollowCount(), "KB",
                "collected; over the process without" + suffix);
        if (!cluster.realIdle().isEmpty() && !cluster.twinsIdle().isEmpty()) {
            figures.add(Figures.REAL, "resident_kb", resident(cluster.realIdle()) - resident(cluster.twinsIdle()), "KB",
                    "process with the parts less one without; idle" + suffix);
            figures.add(Figures.REAL, "resident_off_kb", resident(cluster.twinsIdle()), "KB",
                    "process without the parts");
        }
    }

    private static double resident(List<DirectorProcess> processes) {
        return processes.stream().mapToLong(each -> ProcessTable.residentKb(each.process.pid())).average().orElse(0);
    }
}
