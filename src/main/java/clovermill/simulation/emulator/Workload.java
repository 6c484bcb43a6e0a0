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

/** What the clients of an {@link Emulation} ask for, and the settings under which its directors serve them. */
final class Workload {

    static final double PACE_KB_PER_S = 10_000;
    static final long DEADLINE_US = 6_000_000;
    static final SlowStartRule COLD = new SlowStartRule(0.25, 15_000_000, 3, 3_000_000);

    private final Settings settings;
    /** By rank: the share of requests for this object and all more popular ones. */
    private final double[] popularity;
    private final double[] requestsPerSecond;

    /** {@code linkCapacity} is how many fills the location's link carries at once. */
    Workload(Plan plan, double linkCapacity) {
        this.settings = settings(plan, linkCapacity);
        this.popularity = popularity(plan.objects(), plan.zipf());
        this.requestsPerSecond = requestsPerSecond(plan);
    }

    Settings settings() {
        return settings;
    }

    /** Of one director's clients. */
    double requestsPerSecond(int director) {
        return requestsPerSecond[director];
    }

    /** An object drawn by popularity, as its hash. */
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
                PACE_KB_PER_S, true, SiblingScope.NONE, CacheStatusDetail.HITS, COLD, COLD, 250_000, 8_000, 500_000,
                6_000_000,
                400_000, false, 10_000_000, 0, 0, linkCapacity * PACE_KB_PER_S, capabilities);
    }

    /** Zipf's law, summed up. */
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

    /** The first director's clients ask {@code skew} times as much; all together ask as much as without skew. */
    private static double[] requestsPerSecond(Plan plan) {
        double unit = plan.directors() * plan.perDirector() / (plan.skew() + plan.directors() - 1);
        double[] result = new double[plan.directors()];
        Arrays.fill(result, unit);
        result[0] = plan.skew() * unit;
        return result;
    }
}
