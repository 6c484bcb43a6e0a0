package clovermill.routing.stats;

import java.util.HashMap;
import java.util.Map;

/**
 * The mean service time of the requests of each class, in microseconds on an endpoint at full pace: from the sizes of
 * requests where these are known, otherwise from the time that hits take. Bounded by the number of classes. Not
 * thread-safe.
 */
public final class ClassServiceTimes {

    /** One over this is the weight of a new sample. */
    private static final int SAMPLES = 64;
    /** The same for a hit that took longer than the mean: a loaded moment is no larger request. */
    private static final int SAMPLES_OF_SLOW_HITS = 256;

    private final Map<Integer, Double> meanUs = new HashMap<>();

    /** The mean service time of a class in microseconds; 0 before the first sample. */
    public double meanUs(int requestClass) {
        return meanUs.getOrDefault(requestClass, 0.0);
    }

    /** The mean service time of the slowest class in microseconds; 0 before the first sample. */
    public double largestMeanUs() {
        return meanUs.values().stream().max(Double::compare).orElse(0.0);
    }

    /** Records the service time, in microseconds, that a request's size asks for. */
    public void recordRequest(int requestClass, double serviceUs) {
        meanUs.merge(requestClass, serviceUs,
                (mean, sample) -> mean == 0 ? sample : mean + (sample - mean) / SAMPLES);
    }

    /** Records the time, in microseconds, that a hit of unknown size took; the mean rises slower than it falls. */
    public void recordHit(int requestClass, double elapsedUs) {
        meanUs.merge(requestClass, elapsedUs, (mean, sample) -> mean == 0 ? sample
                : mean + (sample - mean) / (sample > mean ? SAMPLES_OF_SLOW_HITS : SAMPLES));
    }
}
