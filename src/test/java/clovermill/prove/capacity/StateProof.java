package clovermill.prove.capacity;

import clovermill.config.Json;
import clovermill.controlplane.discovery.DiscoveryEventParser;
import clovermill.controlplane.gossip.decide.GossipMember;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyRegister;
import clovermill.prove.capacity.LineFit.Point;
import clovermill.routing.stats.PurgeLog;
import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * What a director remembers ({@code make prove-state}): the real classes are filled to their bounds and beyond, and the
 * heap is measured after full collections; and what purges cost in it. No sockets and no other threads.
 */
public final class StateProof {

    /** Whether nothing else runs on the machine. */
    private static final boolean QUIET = Boolean.getBoolean("quiet");
    private static final int PARTS_KEPT = 30_000;
    private static final int MAX_ENTRIES = 10_000;
    /** Each of the most entries goes out 28 times of itself, in messages of 12, four of them a tick. */
    private static final int TICKS_UNTIL_QUIET = 6_500;
    private static final int ASKED_OFTEN = 24;
    private static final int OFTEN_ASKED = 4_000;
    private static final int SAMPLED = 10;
    /** What a cache holds is remembered so long, and purges so much longer than they take to be done everywhere. */
    private static final long BELIEF_US = 30_000_000;
    private static final long PURGE_WITHIN_US = 7_100_000;
    private static final double KB = 1000;
    private static final double MB = 1e6;
    private static final double SECOND_US = 1e6;
    private static final int HOUR_OF_PURGES = 32_760;
    private static final long FIRST_CURSOR = 1_000_000_000L;
    private static final long FIRST_MS = 1_767_225_600_000L;

    private final FigureFile file = new FigureFile("state.csv");
    private boolean holds = true;

    private StateProof() {}

    /** Writes docs/capacity/state.csv; without the property {@code quiet} times are void: others may run beside. */
    public static void main(String[] arguments) throws Exception {
        StateProof proof = new StateProof();
        RunFacts.describe(proof.file, QUIET ? "make prove-state" : "make prove-state beside others: no times");
        List<Section> sections = List.of(proof::beliefs, proof::copies, proof::members,
                proof::purgeLog, proof::purgesInTheModule, proof::policies, proof::catchUp, proof::gossip);
        for (Section section : sections) {
            section.measure();
            proof.file.write(CapacityTables.FIGURES.resolve("state.csv"));
            System.out.println("rows so far: " + proof.file.figures().size());
        }
        System.out.println("prove-state: rows=" + proof.file.figures().size() + " holds=" + proof.holds);
        System.exit(proof.holds ? 0 : 1);
    }

    private void hold(String what, boolean holding) {
        if (!holding) {
            System.out.println("does not hold: " + what);
            holds = false;
        }
    }

    /** A line through points and its prediction of the last from the others, as rows of the file. */
    private LineFit fit(String metric, List<Point> points, String unit) {
        LineFit fit = LineFit.of(points);
        file.add("slope", "", "", metric, fit.slope(), 1, unit, points.size() + " points");
        file.add("slope", "", "", metric + "_intercept", fit.intercept() / KB, 1, "kB", "");
        file.add("slope", "", "", metric + "_left_out", 100 * LineFit.leftOutError(points, points.size() - 1), 1, "%",
                "the largest predicted from the others");
        return fit;
    }

    /** Adds a time, which is a figure only where this process had the machine to itself. */
    private void time(String kind, String size, String metric, double value, int decimals, String unit, String note) {
        if (QUIET) {
            file.add(kind, size, "", metric, value, decimals, unit, note);
        } else {
            file.add(new Figure(kind, size, "", metric, CapacityTables.VOID, unit, note));
        }
    }

    // ---- The module -------------------------------------------------------------------------------

    /** Parts that the module remembers, by the caches of its location: each asked for once. */
    private void beliefs() throws Exception {
        List<Point> byCaches = new ArrayList<>();
        for (int caches : List.of(4, 8, 40, 85, 170)) {
            byCaches.add(new Point(caches, parts(caches, PARTS_KEPT) / PARTS_KEPT));
        }
        parts(4, PARTS_KEPT / 3);
        double beyond = parts(4, 2 * PARTS_KEPT);
        double atBound = file.number(Figure.key("parts", "4", "" + PARTS_KEPT, "held")) * MB;
        hold("parts are bounded", beyond < 1.05 * atBound);
        fit("part_by_cache", byCaches, "B a part and cache");
    }

    /** Bytes held after so many different parts were asked for. */
    private double parts(int caches, int parts) throws Exception {
        double bytes = Heap.heldBy(() -> {
            ModuleUnderTest module = new ModuleUnderTest(caches, 0);
            for (long part = 0; part < parts; part++) {
                module.serve(part);
            }
            return module;
        }) - Heap.heldBy(() -> new ModuleUnderTest(caches, 0));
        file.add("parts", caches, parts, "held", bytes / MB, 2, "MB", "");
        file.add("parts", caches, parts, "each", bytes / Math.min(parts, PARTS_KEPT), 0, "B", "");
        return bytes;
    }

    /** The same parts asked for again and again, so that copies come up at further caches and are remembered. */
    private void copies() throws Exception {
        for (int caches : List.of(4, 16)) {
            Set<String> seen = new HashSet<>();
            double bytes = Heap.heldBy(() -> {
                ModuleUnderTest module = new ModuleUnderTest(caches, 0);
                for (long part = 0; part < OFTEN_ASKED; part++) {
                    for (int asked = 0; asked < ASKED_OFTEN; asked++) {
                        String cache = module.serve(part);
                        if (part % SAMPLED == 0) {
                            seen.add(part + " " + cache);
                        }
                    }
                }
                return module;
            }) - Heap.heldBy(() -> new ModuleUnderTest(caches, 0));
            file.add("copies", caches, ASKED_OFTEN, "caches", (double) seen.size() * SAMPLED / OFTEN_ASKED, 1, "a part",
                    "each of " + OFTEN_ASKED + " parts asked for so often in a row");
            file.add("copies", caches, ASKED_OFTEN, "each", bytes / OFTEN_ASKED, 0, "B", "");
        }
    }

    /** Members that are listed, all of them of the location, and what a whole list costs. */
    private void members() throws Exception {
        List<Point> points = new ArrayList<>();
        for (int members : List.of(4, 85, 170, 340)) {
            double each = Heap.heldBy(() -> new ModuleUnderTest(members, 0));
            points.add(new Point(members, each));
            file.add("members", members, "", "held", each / KB, 1, "kB", "");
            ModuleUnderTest module = new ModuleUnderTest(members, 0);
            time("members", "" + members, "list", medianUs(15, module::list, members), 0, "us", "to take a whole list");
        }
        fit("member", points, "B");
    }

    private interface Section {
        void measure() throws Exception;
    }

    private interface Listing {
        void list(int local, int elsewhere);
    }

    private static double medianUs(int times, Listing listing, int members) {
        double[] took = new double[times];
        for (int i = 0; i < times; i++) {
            long fromNs = System.nanoTime();
            listing.list(members, 0);
            took[i] = (System.nanoTime() - fromNs) / KB;
        }
        Arrays.sort(took);
        return took[times / 2];
    }

    // ---- Purges -----------------------------------------------------------------------------------

    /** Purges of distinct objects at a steady rate: how many the log holds then, and in how many bytes. */
    private void purgeLog() throws Exception {
        List<Point> points = new ArrayList<>();
        for (double rate : List.of(9.1, 18.2, 36.0, 1000.0)) {
            PurgeLog[] log = {null};
            double bytes = Heap.heldBy(() -> log[0] = purged(rate));
            int entries = size(log[0]);
            points.add(new Point(entries, bytes));
            file.add("purge-log", "", rate, "entries", entries, 0, "", "after 200 s");
            file.add("purge-log", "", rate, "held", bytes / KB, 1, "kB", "");
            hold("the purge log is bounded by rate and time",
                    entries <= rate * (BELIEF_US + PURGE_WITHIN_US) / SECOND_US + 2);
        }
        fit("purge", points, "B");
        PurgeLog hour = new PurgeLog();
        double bytes = Heap.heldBy(() -> {
            for (long i = 0; i < HOUR_OF_PURGES; i++) {
                hour.add(i, 0, i, 0, BELIEF_US + PURGE_WITHIN_US);
            }
            return hour;
        });
        file.add("catch-up", HOUR_OF_PURGES, "", "log_held", bytes / MB, 2, "MB", "all told at one moment");
        hold("a cut of an hour is kept whole", size(hour) == HOUR_OF_PURGES);
    }

    private static PurgeLog purged(double rate) {
        PurgeLog log = new PurgeLog();
        Random random = new Random(7);
        for (int i = 0; i < rate * 200; i++) {
            long nowUs = (long) (i / rate * SECOND_US);
            log.add(random.nextLong(), 0, nowUs, nowUs, BELIEF_US + PURGE_WITHIN_US);
        }
        return log;
    }

    private static int size(PurgeLog log) throws ReflectiveOperationException {
        Field purges = PurgeLog.class.getDeclaredField("purges");
        purges.setAccessible(true);
        return ((Map<?, ?>) purges.get(log)).size();
    }

    /** What a purge costs the module while it remembers as many parts as it can. */
    private void purgesInTheModule() throws Exception {
        ModuleUnderTest module = new ModuleUnderTest(4, 166);
        for (long part = 0; part < PARTS_KEPT; part++) {
            module.serve(part);
        }
        int batch = 10_000;
        double[] each = new double[9];
        for (int i = 0; i < each.length; i++) {
            long fromNs = System.nanoTime();
            for (long object = 0; object < batch; object++) {
                module.purge(object + i);
            }
            each[i] = (System.nanoTime() - fromNs) / KB / batch;
        }
        Arrays.sort(each);
        time("purge-cost", "", "module", each[each.length / 2], 2, "us a purge",
                "median of 9 batches; reading it from the channel and withdrawing what is queued not in it");
    }

    /** The purges of an hour and of longer cuts in the command channel's form: their bytes, and reading them. */
    private void catchUp() throws Exception {
        for (int purges : List.of(8_190, HOUR_OF_PURGES, 2 * HOUR_OF_PURGES)) {
            String text = purges(purges);
            double[] took = new double[7];
            for (int i = 0; i < took.length; i++) {
                long fromNs = System.nanoTime();
                int read = DiscoveryEventParser.parse(Json.parse(text), List.of(), List.of()).events().size();
                took[i] = (System.nanoTime() - fromNs) / MB;
                hold("all purges are read", read == purges);
            }
            Arrays.sort(took);
            file.add("catch-up", purges, "", "bytes", text.length() / MB, 2, "MB", "in one answer of the channel");
            file.add("catch-up", purges, "", "each", (double) text.length() / purges, 1, "B", "");
            time("catch-up", "" + purges, "read", took[took.length / 2], 0, "ms", "");
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

    // ---- What directors share ---------------------------------------------------------------------

    /** A director's part in the gossip: by fleet size, and by entries of the replicated map up to their bound. */
    private void gossip() throws Exception {
        for (int directors : List.of(540, 1080)) {
            List<Point> points = new ArrayList<>();
            for (int entries : directors == 540 ? List.of(0, 2_500, MAX_ENTRIES) : List.of(0, MAX_ENTRIES)) {
                double bytes = Heap.heldBy(() -> gossiped(directors, entries));
                file.add("gossip", directors, entries, "held", bytes / KB, 1, "kB", "");
                points.add(new Point(entries, bytes));
            }
            if (directors == 540) {
                fit("entry", points, "B");
            }
        }
        boolean taken = gossiped(540, MAX_ENTRIES).put(key(MAX_ENTRIES), true);
        hold("the replicated map is bounded", !taken);
        file.add("slope", "", "", "entries_most", MAX_ENTRIES, 0, "", "one more is not taken, and none is dropped");
    }

    private GossipMember gossiped(int directors, int entries) {
        GossipMember member = new GossipMember(new GossipMember.GroupMembership(0, directors, 200_000, 4), List.of(),
                new Random(7), entry -> {}, 0);
        for (int i = 0; i < entries; i++) {
            hold("an entry has a place", member.put(key(i), true));
        }
        quieten(member);
        return member;
    }

    private static String key(int number) {
        return "purge/" + String.format("%016x", number * 0x9E3779B97F4A7C15L);
    }

    /** Ticks until nothing is news any more, as news is held besides. */
    private static void quieten(GossipMember member) {
        for (int i = 0; i < TICKS_UNTIL_QUIET; i++) {
            member.tick(i);
        }
    }

    /** A policy text of the greatest length that the register takes. */
    private void policies() throws Exception {
        double bytes =
                Heap.heldBy(() -> PolicyDocument.of("x".repeat(PolicyRegister.MAX_PARTS * PolicyDocument.PART_CHARS)));
        file.add("policy", "", "", "largest", bytes / MB, 2, "MB", "one text of " + PolicyRegister.MAX_PARTS
                + " parts; a change holds two");
    }
}
