package clovermill.prove.capacity;

import java.util.Map;

/**
 * Compares measurements with the target size: every row of {@code derived.csv} is computed here from rows of the other
 * files and from bounds in the code, and its note says how. It contains no measurements of its own, and omits only
 * values for which no run has produced input.
 */
final class CapacityModel {

    /** The name of the model's file, without extension. */
    static final String NAME = "derived";

    private static final double KB = 1000;
    private static final double MIB = 1 << 20;
    /** A quarter of {@code -Xmx88m} of the run line, by {@code DirectorRuntime.BODY_HEAP_DIVISOR}. */
    private static final double BODY_HEAP_BYTES = 88 * MIB / 4;
    /** {@code ResponseParser.MAX_BODY_BYTES}. */
    private static final double MAX_ANSWER_BYTES = 240_000;
    /** {@code limits.sockets} of the example, a quarter of which is for connections to members. */
    private static final int SOCKETS = 1024;
    private static final int MEMBERS_DIVISOR = 4;
    /** {@code UpstreamPool.MEMBER_SHARE_DIVISOR}. */
    private static final int MEMBER_DIVISOR = 8;
    /** {@code HttpResponseParser.MAX_BODY_BYTES}. */
    private static final double MAX_CHANNEL_ANSWER_BYTES = 4 * MIB;
    /** As in {@code CacheContentsIndex}; {@code MAX_ENTRIES} as in {@code ReplicatedMap}. */
    private static final int ENTRY_LIFETIME_S = 30;
    private static final int MAX_ENTRIES = 10_000;
    /** Defaults of the settings {@code fleet} and {@code accord}. */
    private static final double INTERVAL_S = 0.2;
    private static final int FANOUT = 4;
    private static final double LEASE_S = 10;
    private static final double RENEWAL_INTERVAL_S = 1;
    private static final double DRIFT = 0.01;
    /** A lease lasts at least three renewal intervals ({@code PolicyStoreSettings} checks that). */
    private static final double RENEWALS_PER_LEASE = 3;
    /** Share of a core that leaves reserves for uneven clients and for failed directors. */
    private static final double TARGET_CORE_SHARE = 0.5;
    private static final int HOUR_S = 3600;
    private static final int DAY_S = 86_400;

    private final Map<String, FigureFile> files;
    private final FigureFile derived = new FigureFile(NAME + ".csv");

    private CapacityModel(Map<String, FigureFile> files) {
        this.files = files;
    }

    /** Returns all rows that can be computed from these files; rows that need a missing file are omitted. */
    static FigureFile derive(Map<String, FigureFile> files) {
        CapacityModel model = new CapacityModel(files);
        model.derived.comment("computed by make capacity-page from the other files and from bounds in the code; "
                + "no run of its own");
        model.average();
        model.requestPath();
        model.connections();
        model.purges();
        model.control();
        model.memory();
        model.margins();
        return model.derived;
    }

    private double target(String metric) {
        return files.get("target").number("target///" + metric);
    }

    private boolean has(String file, String key) {
        return files.containsKey(file) && files.get(file).has(key)
                && !files.get(file).figure(key).value().equals(CapacityTables.VOID);
    }

    private double number(String file, String key) {
        return files.get(file).number(key);
    }

    private void add(String kind, String metric, double value, int decimals, String unit, String note) {
        derived.add(kind, "", "", metric, value, decimals, unit, note);
    }

    // ---- Requests ---------------------------------------------------------------------------------

    /** Adds the load of one director when load is spread evenly. */
    private void average() {
        double directors = target("directors");
        double requests = target("requests") / directors;
        double gigabits = target("bits") * KB / directors;
        double bytes = gigabits * 1e9 / 8;
        add("average", "requests", requests, 0, "requests/s", "requests / directors");
        add("average", "bits", gigabits, 2, "Gbit/s", "bits / directors");
        add("average", "answer", bytes / KB / requests, 0, "kB", "bits / 8 / requests");
        add("average", "largest_answer", MAX_ANSWER_BYTES / KB, 0, "kB",
                "the most that a cache may answer in one body");
        add("average", "answers", bytes / MAX_ANSWER_BYTES, 0, "answers/s", "bits / 8 / largest_answer");
        add("average", "bodies", BODY_HEAP_BYTES / 1e6, 1, "MB", "a quarter of the heap of 88 MiB");
        add("average", "bodies_at_once", Math.floor(BODY_HEAP_BYTES / MAX_ANSWER_BYTES), 0, "",
                "bodies / largest_answer");
        add("average", "hold", 1000 * BODY_HEAP_BYTES / bytes, 0, "ms",
                "bodies / bytes a second: the longest that a body may "
                        + "be held on average");
    }

    /** Adds shares of a core: requests as measured at the same rates, bytes by the slope over body sizes. */
    private void requestPath() {
        if (!has("request-path", "slope///kilobyte")) {
            return;
        }
        double perKb = number("request-path", "slope///kilobyte");
        double kbPerS = target("bits") * 1e12 / 8 / KB;
        double directors = target("directors");
        for (int times : new int[] {1, 2, 4}) {
            String key = "rate/200/" + 574 * times + "/cpu";
            if (has("request-path", key)) {
                double requests = number("request-path", key);
                double relayed = times * kbPerS / directors * perKb / 1e4;
                add("request-path", "core_requests_" + times, requests, 1, "%", times + " x 574 requests/s; measured");
                add("request-path", "core_bytes_" + times, relayed, 1, "%", times + " x the average bytes x slope");
                add("request-path", "core_" + times, requests + relayed, 1, "%", "both");
            }
        }
        if (derived.has("request-path///core_2") && derived.has("request-path///core_4")) {
            double two = derived.number("request-path///core_2");
            double four = derived.number("request-path///core_4");
            add("request-path", "core_full", 2 + 2 * (100 - two) / (four - two), 1, "times the average",
                    "where core_2 and core_4 reach 100% by a straight line; not measured above 2 Gbit/s");
        }
        if (has("request-path", "rate/200/574/each")) {
            double each = number("request-path", "rate/200/574/each");
            double cores = target("requests") * each / 1e6 + kbPerS * perKb / 1e6;
            add("request-path", "cores_at_peak", cores, 0, "cores", "all requests at the cost of 574 requests/s and "
                    + "all bytes by the slope");
            add("request-path", "directors_at_half", Math.ceil(cores / TARGET_CORE_SHARE), 0, "directors",
                    "cores_at_peak / 0.5");
            add("request-path", "directors_at_half_twice", Math.ceil(2 * cores / TARGET_CORE_SHARE), 0, "directors",
                    "at twice the peak");
        }
    }

    /** Adds connection counts that follow from the bounds of the connection pool. */
    private void connections() {
        double directors = target("directors");
        double caches = target("caches");
        double sites = target("sites");
        double members = SOCKETS / MEMBERS_DIVISOR;
        double most = Math.max(2, members / MEMBER_DIVISOR);
        add("connections", "pairs", directors * caches, 0, "", "directors x caches");
        add("connections", "members", members, 0, "", "a director's connections to members: sockets 1024 / 4");
        add("connections", "member", most, 0, "", "to one member: max(2; members / 8)");
        add("connections", "sockets_for_all", MEMBERS_DIVISOR * caches * 2, 0, "", "limits.sockets that leaves two "
                + "connections for each cache");
        add("connections", "cache_all", directors * 2, 0, "", "at a cache if all directors use all caches: two each");
        add("connections", "cache_all_average", directors * members / caches, 0, "", "at a cache on average if all "
                + "directors fill their bound");
        add("connections", "cache_all_most", directors * most, 0, "", "at a cache if all directors crowd it");
        add("connections", "directors_a_site", directors / sites, 1, "", "directors / sites");
        add("connections", "caches_a_site", caches / sites, 1, "", "caches / sites");
        add("connections", "cache_site", Math.ceil(directors / sites) * 2, 0, "", "at a cache if only its own site "
                + "uses it: two each");
        add("connections", "cache_site_most", Math.ceil(directors / sites) * most, 0, "", "the same if all crowd it");
        add("connections", "cache_site_most_twice", Math.ceil(2 * directors / sites) * most, 0, "", "with 1080 "
                + "directors at as many sites");
    }

    // ---- Purges -----------------------------------------------------------------------------------

    private void purges() {
        double rate = target("purges");
        double kept = ENTRY_LIFETIME_S + target("purge_within");
        add("purges", "hour", rate * HOUR_S, 0, "purges", "in a cut of an hour");
        add("purges", "log_entries", rate * kept, 0, "", "rate x (30 s + purge_within)");
        add("purges", "log_entries_twice", 2 * rate * kept, 0, "", "at twice the rate");
        if (has("state", "parts/67/30000/each")) {
            add("purges", "remembered", 100 * partsThatFit(67) / target("objects"), 5, "%",
                    "of all objects: parts that fit with 67 caches in the location");
        }
        add("purges", "entries_last", MAX_ENTRIES / rate / 60, 1, "min", "10000 entries / rate");
        add("purges", "entries_last_twice", MAX_ENTRIES / rate / 120, 1, "min", "at twice the rate");
        add("purges", "gossip_bound", gossipBoundS(target("directors")), 0, "s", "max(3 (n + 2) / 4; 20) x 0.2 s");
        add("purges", "gossip_bound_twice", gossipBoundS(2 * target("directors")), 0, "s", "at 1080 directors");
        String bytes = "catch-up/32760//each";
        if (!has("state", bytes)) {
            return;
        }
        double each = number("state", bytes);
        add("purges", "channel", each * rate / KB, 2, "KB/s", "bytes of a purge x rate; to each director; no headers");
        add("purges", "channel_twice", 2 * each * rate / KB, 2, "KB/s", "at twice the rate");
        add("purges", "endpoint", target("directors") * each * rate / KB, 0, "KB/s", "to all directors");
        add("purges", "endpoint_twice", 4 * target("directors") * each * rate / KB, 0, "KB/s",
                "twice the directors and twice the rate");
        add("purges", "catch_up", each * rate * HOUR_S / (target("control_bytes") * KB - each * rate) / 60, 1, "min",
                "an hour's purges at 9 KB/s beside the new ones");
        add("purges", "catch_up_twice",
                2 * each * rate * HOUR_S / (target("control_bytes") * KB - 2 * each * rate) / 60,
                1, "min", "at twice the rate");
        add("purges", "storm", target("directors") * each * rate * HOUR_S / 1e9, 2, "GB", "an hour's purges to all "
                + "directors at once");
        add("purges", "answer_holds", Math.floor(MAX_CHANNEL_ANSWER_BYTES / each), 0, "purges",
                "4 MiB / bytes of a purge");
        add("purges", "answer_lasts", MAX_CHANNEL_ANSWER_BYTES / each / rate / 60, 0, "min",
                "of a cut that one answer can make up");
        add("purges", "answer_lasts_twice", MAX_CHANNEL_ANSWER_BYTES / each / rate / 120, 0, "min",
                "at twice the rate");
    }

    /** Adds the share of the heap, less bodies, that the cache contents index takes. */
    private void memory() {
        if (!has("state", "slope///part_by_level")) {
            return;
        }
        double left = 88 * MIB - BODY_HEAP_BYTES;
        add("memory", "left", left / 1e6, 1, "MB", "heap of 88 MiB less what bodies may take");
        add("memory", "parts", 100 * RouterUnderTest.INDEX_BYTES / left, 0, "%",
                "of that, at most; a quarter of the heap");
        add("memory", "parts_fit_67", partsThatFit(67), 0, "parts",
                "with 67 caches in the location; each requested once");
        add("memory", "parts_fit_200", partsThatFit(200), 0, "parts", "with 200 caches in the location");
        add("memory", "parts_fit_3200", partsThatFit(3200), 0, "parts", "with 3200 caches in the location");
    }

    /** Returns the number of parts, each requested once, that the index keeps. */
    private double partsThatFit(int caches) {
        return RouterUnderTest.INDEX_BYTES / number("state", "parts/" + caches + "/30000/each");
    }

    /** Adds the ratio of limit to value measured in the scale run; below 1 the limit is exceeded. */
    private void margins() {
        for (String size : new String[] {"540", "1080"}) {
            for (String kind : new String[] {"hollow", "real"}) {
                margin(kind, size, "bytes_out", KB * target("control_bytes"));
                margin(kind, size, "bytes_in", KB * target("control_bytes"));
                margin(kind, size, "cpu_pct", target("control_core"));
                margin(kind, size, "resident_kb", KB * target("control_memory"));
                margin(kind, size, "event_most_s", target("purge_within"));
            }
            margin("change", size, "change_most_s", target("change_within"));
            margin("change", size, "change_one_stopped_s", target("change_within"));
        }
    }

    private void margin(String kind, String size, String metric, double limit) {
        String rate = kind.equals("change") ? "0" : "9.1";
        String key = Figure.key(kind, size, rate, metric);
        if (has("scale", key) && number("scale", key) > 0) {
            derived.add("margin", size, "", kind + " " + metric, limit / number("scale", key), 2, "x", "");
        }
    }

    private static double gossipBoundS(double directors) {
        return Math.max(3 * Math.floor((directors - 2 + FANOUT) / FANOUT), 20) * INTERVAL_S;
    }

    // ---- Configuration and limits -----------------------------------------------------------------

    private void control() {
        double within = target("change_within");
        double directors = target("directors");
        double stretch = (1 + DRIFT) / (1 - DRIFT);
        double lease = within / (stretch + 1 / RENEWALS_PER_LEASE);
        add("configuration", "between_changes", DAY_S / target("changes"), 0, "s", "a day / changes");
        add("configuration", "bound", LEASE_S * stretch + RENEWAL_INTERVAL_S, 1, "s",
                "lease (1 + drift) / (1 - drift) + ask; by "
                        + "default 10 s and 1 s");
        add("configuration", "lease", lease, 2, "s", "the longest whose bound is 3 s with ask = lease / 3");
        add("configuration", "ask", lease / RENEWALS_PER_LEASE, 2, "s", "lease / 3");
        add("configuration", "asks", directors / RENEWAL_INTERVAL_S, 0, "1/s", "at the leader with an ask of 1 s");
        add("configuration", "asks_short", directors / (lease / RENEWALS_PER_LEASE), 0, "1/s",
                "at the leader with that lease");
        add("configuration", "asks_short_twice", 2 * directors / (lease / RENEWALS_PER_LEASE), 0, "1/s",
                "at 1080 directors");
        add("configuration", "calls", directors / (RENEWAL_INTERVAL_S / 5), 0, "1/s",
                "from the leader while a change goes on: "
                        + "directors / (ask / 5)");
        add("limits", "over", directors, 0, "requests", "beside limit x (w + burst): one for each director");
        add("limits", "slice_of_1000", 1000 / directors, 2, "requests/s", "own slice of a limit of 1000");
        add("limits", "alone", 1000 / directors, 2, "requests/s", "what a director admits of it that hears nobody");
    }
}
