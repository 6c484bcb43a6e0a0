package clovermill.memory;

import java.util.HashMap;
import java.util.Map;

/** The mean work of the requests of a class, in microseconds at full pace: by their sizes, else by the time of hits. */
public final class ClassServiceTimes {

    private final Map<Integer, Double> meanUs = new HashMap<>();

    /** The mean of a class; 0 before the first. */
    public double of(int requestClass) {
        return meanUs.getOrDefault(requestClass, 0.0);
    }

    /** The mean of the class with the largest one. */
    public double most() {
        return meanUs.values().stream().max(Double::compare).orElse(0.0);
    }

    /** The work of one more request. */
    public void asked(int requestClass, double us) {
        meanUs.merge(requestClass, us, (mean, work) -> mean == 0 ? work : mean + (work - mean) / 64);
    }

    /** The time of a hit whose size is not told: rises slower than it falls, as a loaded moment is no work. */
    public void hit(int requestClass, double us) {
        meanUs.merge(requestClass, us, (mean, hit) -> mean == 0 ? hit : mean + (hit - mean) / (hit > mean ? 256 : 64));
    }
}
