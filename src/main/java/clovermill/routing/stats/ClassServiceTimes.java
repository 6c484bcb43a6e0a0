package clovermill.routing.stats;

import java.util.HashMap;
import java.util.Map;

/**
 * The mean service time of the requests of each class, in microseconds on an endpoint at full pace: from the sizes of
 * requests if known, otherwise from the duration of hits. Bounded by the number of classes. Not thread-safe.
 */
public final class ClassServiceTimes {

    /** Reciprocal of the weight of a new sample. */
    private static final int SAMPLES = 64;
    /** The same for a hit slower than the mean, since high load does not mean a larger request. */
    private static final int SAMPLES_OF_SLOW_HITS = 256;

    private final Map<Integer, Double> meanUs = new HashMap<>();

    /** Returns the mean service time of a class in microseconds; 0 before the first sample. */
    public double meanUs(int requestClass) {
        return meanUs.getOrDefault(requestClass, 0.0);
    }

    /** Returns the mean service time of the slowest class in microseconds; 0 before the first sample. */
    public double largestMeanUs() {
        return meanUs.values().stream().max(Double::compare).orElse(0.0);
    }

    /** Records the service time of a request by its size, in microseconds. */
    public void recordRequest(int requestClass, double serviceUs) {
        meanUs.merge(requestClass, serviceUs,
                (mean, sample) -> mean == 0 ? sample : mean + (sample - mean) / SAMPLES);
    }

    /** Records the duration of a hit of unknown size, in microseconds; the mean rises slower than it falls. */
    public void recordHit(int requestClass, double elapsedUs) {
        meanUs.merge(requestClass, elapsedUs, (mean, sample) -> mean == 0 ? sample
                : mean + (sample - mean) / (sample > mean ? SAMPLES_OF_SLOW_HITS : SAMPLES));
    }
}
