package clovermill.simulation.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The measurements of a run: the load of each cache per second, relative to its capacity, and request outcomes. */
public final class FleetMetrics {

    /** Mean load below which a second is not counted by {@link #idleSeconds}. */
    private static final double MIN_EVALUATED_LOAD = 0.1;

    /** The load in one second of each cache that is warm and in service, by id. */
    public record Second(int second, Map<String, Double> loads) {

        /** Returns the mean load of all caches. */
        public double mean() {
            return loads.values().stream().mapToDouble(d -> d).average().orElse(0);
        }

        /** Returns the highest load of all caches. */
        public double max() {
            return loads.values().stream().mapToDouble(d -> d).max().orElse(0);
        }

        double spread() {
            return mean() == 0 ? 1 : max() / mean();
        }
    }

    /** Seconds at the start that are not evaluated. */
    private final int settle;
    private final List<Second> seconds = new ArrayList<>();
    private final List<Double> loads = new ArrayList<>();
    long requests;
    long inTime;
    long late;
    long refused;
    long failed;
    long hits;
    long answered;
    int overruns;

    FleetMetrics(int settle) {
        this.settle = settle;
    }

    void second(int second, Map<String, Double> loadByCache) {
        if (second >= settle) {
            seconds.add(new Second(second, loadByCache));
            loads.addAll(loadByCache.values());
        }
    }

    /** Returns the evaluated seconds. */
    public List<Second> seconds() {
        return List.copyOf(seconds);
    }

    /** Returns the ratio of the highest load to the mean load, averaged over all evaluated seconds. */
    public double maxOverMean() {
        return seconds.stream().mapToDouble(Second::spread).average().orElse(1);
    }

    /** Returns the 99th percentile over time of the ratio of the highest load to the mean load. */
    public double p99OverMean() {
        return percentile(seconds.stream().mapToDouble(Second::spread).toArray());
    }

    /** Returns the 99th percentile of the load of one cache in one second. */
    public double p99Load() {
        return percentile(loads.stream().mapToDouble(d -> d).toArray());
    }

    /** Returns the number of seconds, summed over caches, in which a cache was idle while the fleet was not. */
    public int idleSeconds() {
        return (int) seconds.stream().filter(each -> each.mean() >= MIN_EVALUATED_LOAD)
                .mapToLong(each -> each.loads.values().stream().filter(load -> load == 0).count()).sum();
    }

    /** Returns the number of cold caches that failed because of too much work. */
    public int overruns() {
        return overruns;
    }

    /** Returns the share of requests that were answered within their target time. */
    public double inTimeShare() {
        return requests == 0 ? 1 : (double) inTime / requests;
    }

    private static double percentile(double[] values) {
        Arrays.sort(values);
        return values.length == 0 ? 0 : values[(int) Math.min(values.length - 1, Math.ceil(0.99 * values.length))];
    }

    private static double rounded(double value) {
        return Math.round(value * 1000) / 1000.0;
    }

    /** Returns the figures of the run by name, in output order. */
    public Map<String, Object> figures() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("requests", requests);
        all.put("in_time", rounded(inTimeShare()));
        all.put("late", rounded(requests == 0 ? 0 : (double) late / requests));
        all.put("refused", rounded(requests == 0 ? 0 : (double) refused / requests));
        all.put("failed", rounded(requests == 0 ? 0 : (double) failed / requests));
        all.put("hits", rounded(answered == 0 ? 0 : (double) hits / answered));
        all.put("max_over_mean", rounded(maxOverMean()));
        all.put("p99_over_mean", rounded(p99OverMean()));
        all.put("p99_load", rounded(p99Load()));
        all.put("idle_s", idleSeconds());
        all.put("overruns", overruns);
        return all;
    }
}
