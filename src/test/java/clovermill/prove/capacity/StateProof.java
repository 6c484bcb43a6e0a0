package clovermill.prove.capacity;

import clovermill.config.Json;
import clovermill.controlplane.discovery.DiscoveryEventParser;
import clovermill.controlplane.gossip.decide.GossipMember;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyRegister;
import clovermill.prove.capacity.LineFit.Point;
import clovermill.routing.stats.PurgeLog;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * What a director remembers ({@code make prove-state}): the real classes are filled to their bounds and beyond, and the
 * heap is measured after full collections; and what purges cost in it. No sockets and no other threads.
 */
public final class StateProof {

    /** True if nothing else runs on the machine, so that times are valid. */
    private static final boolean QUIET = Boolean.getBoolean("quiet");
    private static final int PARTS = 30_000;
    /** The index weighs its entries by the sizes of their fields; objects may take a little more. */
    private static final double INDEX_MARGIN = 1.1;
    private static final int MAX_ENTRIES = 10_000;
    /** Each of the maximum number of entries is sent 28 times, in messages of 12 entries, four messages a tick. */
    private static final int TICKS_UNTIL_ALL_SENT = 6_500;
    private static final int REQUESTS_PER_PART = 24;
    private static final int REPEATED_PARTS = 4_000;
    private static final int SAMPLE_INTERVAL = 10;
    /** Lifetime of an index entry, and the time within which a purge is in force everywhere; the log keeps the sum. */
    private static final long ENTRY_LIFETIME_US = 30_000_000;
    private static final long PURGE_WITHIN_US = 7_100_000;
    private static final double KB = 1000;
    private static final double MB = 1e6;
    private static final double SECOND_US = 1e6;
    private static final int PURGES_PER_HOUR = 32_760;
    private static final long FIRST_CURSOR = 1_000_000_000L;
    private static final long FIRST_MS = 1_767_225_600_000L;

    private final FigureFile file = new FigureFile("state.csv");
    private boolean passed = true;

    private StateProof() {}

    /** Writes docs/capacity/state.csv; times are void unless the property {@code quiet} is set. */
    public static void main(String[] arguments) throws Exception {
        StateProof proof = new StateProof();
        RunEnvironment.describe(proof.file, QUIET ? "make prove-state" : "make prove-state beside others: no times");
        List<Section> sections = List.of(proof::cacheContents, proof::copies, proof::members,
                proof::purgeLog, proof::purgeCost, proof::policies, proof::catchUp, proof::gossip);
        for (Section section : sections) {
            section.measure();
            proof.file.write(CapacityTables.FIGURES.resolve("state.csv"));
            System.out.println("rows so far: " + proof.file.figures().size());
        }
        System.out.println("prove-state: rows=" + proof.file.figures().size() + " holds=" + proof.passed);
        System.exit(proof.passed ? 0 : 1);
    }

    private void check(String property, boolean condition) {
        if (!condition) {
            System.out.println("failed: " + property);
            passed = false;
        }
    }

    /** Fits a line and adds its rows: slope, intercept, and the last point as predicted from the others. */
    private LineFit fit(String metric, List<Point> points, String unit) {
        LineFit fit = LineFit.of(points);
        file.add("slope", "", "", metric, fit.slope(), 1, unit, points.size() + " points");
        file.add("slope", "", "", metric + "_intercept", fit.intercept() / KB, 1, "kB", "");
        file.add("slope", "", "", metric + "_left_out", 100 * LineFit.leftOutError(points, points.size() - 1), 1, "%",
                "the largest predicted from the others");
        return fit;
    }

    /** Adds a time, which is void unless this process had the machine to itself. */
    private void time(String kind, String size, String metric, double value, int decimals, String unit, String note) {
        if (QUIET) {
            file.add(kind, size, "", metric, value, decimals, unit, note);
        } else {
            file.add(new Figure(kind, size, "", metric, CapacityTables.VOID, unit, note));
        }
    }

    // ---- The router -------------------------------------------------------------------------------

    /**
     * Measures the index of cache contents by the depth of the location's trees, each part requested once, and that it
     * stays within its bytes.
     */
    private void cacheContents() throws Exception {
        List<Point> byLevels = new ArrayList<>();
        for (int caches : List.of(4, 20, 67, 200, 1067, 3200)) {
            byLevels.add(new Point(Math.log(caches) / Math.log(2), parts(caches, PARTS) / PARTS));
        }
        double beyond = parts(3200, 5 * PARTS);
        check("the index stays within its bytes", beyond < INDEX_MARGIN * RouterUnderTest.INDEX_BYTES);
        fit("part_by_level", byLevels, "B a part and level of the tree");
    }

    /** Returns the bytes retained after requests for {@code parts} different parts. */
    private double parts(int caches, int parts) throws Exception {
        double bytes = Heap.retainedBy(() -> {
            RouterUnderTest router = new RouterUnderTest(caches, 0);
            for (long part = 0; part < parts; part++) {
                router.serve(part);
            }
            return router;
        }) - Heap.retainedBy(() -> new RouterUnderTest(caches, 0));
        file.add("parts", caches, parts, "held", bytes / MB, 2, "MB", "");
        file.add("parts", caches, parts, "each", bytes / parts, 0, "B",
                parts > PARTS ? "not all of them are kept" : "");
        return bytes;
    }

    /** Requests the same parts repeatedly, so that copies arise at further caches and are added to the index. */
    private void copies() throws Exception {
        for (int caches : List.of(4, 16)) {
            Set<String> seen = new HashSet<>();
            double bytes = Heap.retainedBy(() -> {
                RouterUnderTest router = new RouterUnderTest(caches, 0);
                for (long part = 0; part < REPEATED_PARTS; part++) {
                    for (int request = 0; request < REQUESTS_PER_PART; request++) {
                        String cache = router.serve(part);
                        if (part % SAMPLE_INTERVAL == 0) {
                            seen.add(part + " " + cache);
                        }
                    }
                }
                return router;
            }) - Heap.retainedBy(() -> new RouterUnderTest(caches, 0));
            file.add("copies", caches, REQUESTS_PER_PART, "caches",
                    (double) seen.size() * SAMPLE_INTERVAL / REPEATED_PARTS, 1, "a part",
                    "each of " + REPEATED_PARTS + " parts asked for so often in a row");
            file.add("copies", caches, REQUESTS_PER_PART, "each", bytes / REPEATED_PARTS, 0, "B", "");
        }
    }

    /** Measures the memory of listed members, all of the location, and the time to process a full list. */
    private void members() throws Exception {
        List<Point> points = new ArrayList<>();
        for (int members : List.of(4, 85, 170, 340)) {
            double each = Heap.retainedBy(() -> new RouterUnderTest(members, 0));
            points.add(new Point(members, each));
            file.add("members", members, "", "held", each / KB, 1, "kB", "");
            RouterUnderTest router = new RouterUnderTest(members, 0);
            time("members", "" + members, "list", medianUs(15, router::replaceMembers, members), 0, "us",
                    "to take a whole list");
        }
        fit("member", points, "B");
    }

    private interface Section {
        void measure() throws Exception;
    }

    private interface ListReplacement {
        void replace(int local, int elsewhere);
    }

    private static double medianUs(int times, ListReplacement replacement, int members) {
        double[] samples = new double[times];
        for (int i = 0; i < times; i++) {
            long fromNs = System.nanoTime();
            replacement.replace(members, 0);
            samples[i] = (System.nanoTime() - fromNs) / KB;
        }
        Arrays.sort(samples);
        return samples[times / 2];
    }

    // ---- Purges -----------------------------------------------------------------------------------

    /** Measures entries and bytes of the purge log after purges of distinct objects at a steady rate. */
    private void purgeLog() throws Exception {
        List<Point> points = new ArrayList<>();
        for (double rate : List.of(9.1, 18.2, 36.0, 1000.0)) {
            PurgeLog[] log = {null};
            double bytes = Heap.retainedBy(() -> log[0] = purgeLogAt(rate));
            int entries = log[0].size();
            points.add(new Point(entries, bytes));
            file.add("purge-log", "", rate, "entries", entries, 0, "", "after 200 s");
            file.add("purge-log", "", rate, "held", bytes / KB, 1, "kB", "");
            check("the purge log is bounded by rate and time",
                    entries <= rate * (ENTRY_LIFETIME_US + PURGE_WITHIN_US) / SECOND_US + 2);
        }
        fit("purge", points, "B");
        PurgeLog hour = new PurgeLog(Integer.MAX_VALUE);
        double bytes = Heap.retainedBy(() -> {
            for (long i = 0; i < PURGES_PER_HOUR; i++) {
                hour.add(i, 0, i, 0, ENTRY_LIFETIME_US + PURGE_WITHIN_US);
            }
            return hour;
        });
        file.add("catch-up", PURGES_PER_HOUR, "", "log_held", bytes / MB, 2, "MB", "all told at one moment");
        check("the log keeps all purges of an hour", hour.size() == PURGES_PER_HOUR);
    }

    private static PurgeLog purgeLogAt(double rate) {
        PurgeLog log = new PurgeLog(Integer.MAX_VALUE);
        Random random = new Random(7);
        for (int i = 0; i < rate * 200; i++) {
            long nowUs = (long) (i / rate * SECOND_US);
            log.add(random.nextLong(), 0, nowUs, nowUs, ENTRY_LIFETIME_US + PURGE_WITHIN_US);
        }
        return log;
    }

    /** Measures the cost of a purge in the router while its index of cache contents is full. */
    private void purgeCost() throws Exception {
        RouterUnderTest router = new RouterUnderTest(4, 166);
        for (long part = 0; part < PARTS; part++) {
            router.serve(part);
        }
        int batch = 10_000;
        double[] each = new double[9];
        for (int i = 0; i < each.length; i++) {
            long fromNs = System.nanoTime();
            for (long object = 0; object < batch; object++) {
                router.purge(object + i);
            }
            each[i] = (System.nanoTime() - fromNs) / KB / batch;
        }
        Arrays.sort(each);
        time("purge-cost", "", "module", each[each.length / 2], 2, "us a purge",
                "median of 9 batches; reading it from the channel and withdrawing what is queued not in it");
    }

    /** Measures size and parsing time of the purges of an hour and of other periods, as the channel sends them. */
    private void catchUp() throws Exception {
        for (int purges : List.of(8_190, PURGES_PER_HOUR, 2 * PURGES_PER_HOUR)) {
            String text = purges(purges);
            double[] samples = new double[7];
            for (int i = 0; i < samples.length; i++) {
                long fromNs = System.nanoTime();
                int read = DiscoveryEventParser.parse(Json.parse(text), List.of(), List.of()).events().size();
                samples[i] = (System.nanoTime() - fromNs) / MB;
                check("all purges are parsed", read == purges);
            }
            Arrays.sort(samples);
            file.add("catch-up", purges, "", "bytes", text.length() / MB, 2, "MB", "in one answer of the channel");
            file.add("catch-up", purges, "", "each", (double) text.length() / purges, 1, "B", "");
            time("catch-up", "" + purges, "read", samples[samples.length / 2], 0, "ms", "");
        }
    }

    private static String purges(int count) {
        Random random = new Random(7);
        StringBuilder text = new StringBuilder("{\"cursor\":" + (FIRST_CURSOR + count) + ",\"cmds\":[");
        for (int i = 0; i < count; i++) {
            text.append(i == 0 ? "" : ",").append("{\"cursor\":").append(FIRST_CURSOR + 1 + i)
                    .append(",\"drop\":{\"id\":\"").append(String.format("%016x", random.nextLong()))
                    .append("\",\"when\":").append(FIRST_MS + i).append("}}");
        }
        return text.append("]}").toString();
    }

    // ---- Control plane ----------------------------------------------------------------------------

    /** Measures the memory of a gossip member by fleet size and by entries of the replicated map up to the maximum. */
    private void gossip() throws Exception {
        for (int directors : List.of(540, 1080)) {
            List<Point> points = new ArrayList<>();
            for (int entries : directors == 540 ? List.of(0, 2_500, MAX_ENTRIES) : List.of(0, MAX_ENTRIES)) {
                double bytes = Heap.retainedBy(() -> gossipMember(directors, entries));
                file.add("gossip", directors, entries, "held", bytes / KB, 1, "kB", "");
                points.add(new Point(entries, bytes));
            }
            if (directors == 540) {
                fit("entry", points, "B");
            }
        }
        boolean accepted = gossipMember(540, MAX_ENTRIES).put(key(MAX_ENTRIES), true);
        check("the replicated map is bounded", !accepted);
        file.add("slope", "", "", "entries_most", MAX_ENTRIES, 0, "", "one more is not taken, and none is dropped");
    }

    private GossipMember gossipMember(int directors, int entries) {
        GossipMember member = new GossipMember(new GossipMember.GroupMembership(0, directors, 200_000, 4), List.of(),
                new Random(7), entry -> {}, 0);
        for (int i = 0; i < entries; i++) {
            check("an entry is accepted", member.put(key(i), true));
        }
        sendAllQueued(member);
        return member;
    }

    private static String key(int number) {
        return "purge/" + String.format("%016x", number * 0x9E3779B97F4A7C15L);
    }

    /** Ticks until no entry is queued for sending, as queued entries take memory too. */
    private static void sendAllQueued(GossipMember member) {
        for (int i = 0; i < TICKS_UNTIL_ALL_SENT; i++) {
            member.tick(i);
        }
    }

    /** Measures the longest policy text that the register accepts. */
    private void policies() throws Exception {
        double bytes =
                Heap.retainedBy(
                        () -> PolicyDocument.of("x".repeat(PolicyRegister.MAX_PARTS * PolicyDocument.PART_CHARS)));
        file.add("policy", "", "", "largest", bytes / MB, 2, "MB", "one text of " + PolicyRegister.MAX_PARTS
                + " parts; a change holds two");
    }
}
