package clovermill.simulation.emulator;

import clovermill.routing.api.CacheStatusDetail;
import clovermill.routing.api.Effect;
import clovermill.routing.api.HostCapabilities;
import clovermill.routing.api.KeyScope;
import clovermill.routing.api.RequestClass;
import clovermill.routing.api.Settings;
import clovermill.routing.api.SiblingScope;
import clovermill.routing.api.SlowStartRule;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** The client requests of an {@link Emulation}, and the settings of its directors. */
final class Workload {

    static final double FULL_RATE_KB_PER_S = 10_000;
    static final long DEADLINE_US = 6_000_000;
    static final SlowStartRule SLOW_START = new SlowStartRule(0.25, 15_000_000, 3, 3_000_000);

    private final Settings settings;
    /** By rank: the share of requests for this object and all more popular objects. */
    private final double[] popularity;
    private final double[] requestsPerSecond;

    /**
     * Creates the workload of a plan.
     *
     * @param linkCapacity number of fills that the location's link carries at full rate
     */
    Workload(Plan plan, double linkCapacity) {
        this.settings = settings(plan, linkCapacity);
        this.popularity = popularity(plan.objects(), plan.zipf());
        this.requestsPerSecond = requestsPerSecond(plan);
    }

    Settings settings() {
        return settings;
    }

    /** Returns the request rate of one director's clients. */
    double requestsPerSecond(int director) {
        return requestsPerSecond[director];
    }

    /** Returns the hash of an object drawn by popularity. */
    long nextObject(SplittableRandom random) {
        int rank = Arrays.binarySearch(popularity, random.nextDouble());
        return 0x5DEECE66DL * (rank < 0 ? -rank - 1 : rank) + 11;
    }

    private static Settings settings(Plan plan, double linkCapacity) {
        RequestClass read = new RequestClass(500_000, 2, DEADLINE_US, 1, 0.15, Effect.IDEMPOTENT, KeyScope.ALL,
                Emulation.SECOND_US, false, false, false, 0, 0, 1);
        HostCapabilities capabilities =
                new HostCapabilities(false, false, true, true, false, false, 6, 100_000, 500_000);
        return new Settings(0, plan.directors(), 1, List.of(read), List.of(0, plan.directors()), List.of(0, 0), 1, 2,
                FULL_RATE_KB_PER_S, true, SiblingScope.NONE, CacheStatusDetail.HITS, SLOW_START, SLOW_START, 250_000,
                8_000,
                500_000,
                6_000_000,
                400_000, false, 10_000_000, 0, 0, linkCapacity * FULL_RATE_KB_PER_S, capabilities);
    }

    /** Returns the cumulative distribution of Zipf's law. */
    private static double[] popularity(int objects, double zipf) {
        double[] sums = new double[objects];
        double sum = 0;
        for (int i = 0; i < objects; i++) {
            sum += Math.pow(i + 1, -zipf);
            sums[i] = sum;
        }
        for (int i = 0; i < objects; i++) {
            sums[i] /= sum;
        }
        return sums;
    }

    /** The first director's clients send {@code skew} times as many requests; the total is the same as without skew. */
    private static double[] requestsPerSecond(Plan plan) {
        double unit = plan.directors() * plan.perDirector() / (plan.skew() + plan.directors() - 1);
        double[] result = new double[plan.directors()];
        Arrays.fill(result, unit);
        result[0] = plan.skew() * unit;
        return result;
    }
}
