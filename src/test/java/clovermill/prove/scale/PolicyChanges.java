package clovermill.prove.scale;

import clovermill.prove.DirectorProcess;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Proposes policy changes at random hollow directors and measures the time until they are in force everywhere. */
final class PolicyChanges {

    /** The number of changes that took effect, and the slowest time until one was at all directors of a kind. */
    record Outcome(int inForce, double hollowMaxS, double realMaxS) {}

    /** When a version took effect at the last hollow and was seen at the last real director, in Unix milliseconds. */
    private record InForce(long hollowMs, long realMs) {}

    /** A change that takes longer counts as not in force. */
    static final long CHANGE_TIMEOUT_MS = 40_000;
    private static final long READY_TIMEOUT_MS = 60_000;
    private static final long POLL_MS = 50;
    private static final List<String> SITES = List.of("\"north\"", "\"north\",\"edge\"", "\"edge\"");
    private static final double MS_PER_S = 1000;

    private final Cluster cluster;
    private final Random random;
    private final List<Integer> hollow;
    private long version;
    private int number;

    PolicyChanges(Cluster cluster, long seed) {
        this.cluster = cluster;
        this.random = new Random(seed);
        this.hollow = HollowProcessHandle.directors(cluster.hollow());
    }

    /** Waits until all directors have a lease on the initial policy. */
    void awaitFirst() throws Exception {
        if (await(0, READY_TIMEOUT_MS, cluster.real()) == null) {
            throw new IllegalStateException("the initial policy is not in force at all directors");
        }
    }

    /** Makes some changes one after another, with all directors running. */
    Outcome change(int changes) throws Exception {
        return change(changes, cluster.real());
    }

    /** Makes one change while the last real director is stopped. */
    Outcome changeWithOneStopped() throws Exception {
        int last = cluster.real().size() - 1;
        DirectorProcess stopped = cluster.real().get(last);
        signal("STOP", stopped);
        try {
            return change(1, cluster.real().subList(0, last));
        } finally {
            signal("CONT", stopped);
        }
    }

    private Outcome change(int changes, List<DirectorProcess> reachable) throws Exception {
        int inForce = 0;
        double hollowMaxS = 0;
        double realMaxS = 0;
        for (int i = 0; i < changes; i++) {
            int director = hollow.get(random.nextInt(hollow.size()));
            long fromMs = System.currentTimeMillis();
            HollowProcess.ProposalAnswer answer = cluster.processOf(director).propose(director, version, nextPolicy());
            // A proposal that is retried before its answer arrives is answered that the change has begun already.
            if (!List.of("BEGUN", "SAME").contains(answer.result())) {
                System.err.println("a change was not accepted: " + answer);
                continue;
            }
            InForce when = await(answer.version(), CHANGE_TIMEOUT_MS, reachable);
            if (when != null) {
                version = answer.version();
                inForce++;
                hollowMaxS = Math.max(hollowMaxS, (when.hollowMs - fromMs) / MS_PER_S);
                realMaxS = Math.max(realMaxS, (when.realMs - fromMs) / MS_PER_S);
            }
        }
        return new Outcome(inForce, hollowMaxS, realMaxS);
    }

    /**
     * Returns a policy that differs from the previous one in the sites of a protected tenant, whose class gets no
     * requests. A change of protected placement waits for leases to expire, whereas a change of tenants would be
     * reverted.
     */
    private String nextPolicy() {
        String sites = SITES.get(number++ % SITES.size());
        return "{\"tenants\":[{\"tenant\":\"t0\",\"class\":\"video\",\"groups\":[0,9]}],\"placement\":[{\"tenant\":"
                + "\"t0\",\"sites\":[" + sites + "],\"archive\":true,\"protected\":true}]}";
    }

    /** Waits until a version is the only one in force everywhere; returns null on timeout. */
    private InForce await(long wanted, long timeoutMs, List<DirectorProcess> reachable) throws Exception {
        List<DirectorProcess> pending = new ArrayList<>(reachable);
        long realMs = 0;
        for (long untilMs = System.currentTimeMillis() + timeoutMs; System.currentTimeMillis() < untilMs;) {
            for (DirectorProcess each : List.copyOf(pending)) {
                if (cluster.policyVersion(each) >= wanted) {
                    pending.remove(each);
                    realMs = System.currentTimeMillis();
                }
            }
            int count = 0;
            long hollowMs = 0;
            for (HollowProcessHandle each : cluster.hollow()) {
                HollowFigures figures = each.figures(false);
                count += figures.inForce().getOrDefault(wanted, 0);
                hollowMs = Math.max(hollowMs, figures.lastMs().getOrDefault(wanted, 0L));
            }
            if (pending.isEmpty() && count == hollow.size()) {
                return new InForce(hollowMs, realMs);
            }
            Thread.sleep(POLL_MS);
        }
        System.err.println("version " + wanted + " is not in force everywhere");
        return null;
    }

    private static void signal(String name, DirectorProcess director) throws Exception {
        new ProcessBuilder("kill", "-" + name, "" + director.process.pid()).start().waitFor();
    }
}
