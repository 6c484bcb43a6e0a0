package clovermill.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/** Consistent hashing: each member at many points, in proportion to its weight; the same at every director. */
public final class HashRing<T> {

    /** Points of a member of mean weight: evens out the arcs of a few members to about a tenth. */
    private static final int POINTS = 100;

    private final TreeMap<Long, T> points = new TreeMap<>();

    /** Takes over a list of members in place of the one before. */
    public void list(List<T> members, Function<T, String> id, ToDoubleFunction<T> weight) {
        double all = members.stream().mapToDouble(weight).sum();
        points.clear();
        for (T member : members) {
            long count = Math.max(1, Math.round(POINTS * weight.applyAsDouble(member) * members.size() / all));
            long seed = hash(id.apply(member));
            for (int i = 0; i < count; i++) {
                points.put(mix(seed + i), member);
            }
        }
    }

    /** The first member clockwise from a point that will do, or null; each is asked once at most. */
    public T firstFrom(long point, Predicate<T> willDo) {
        List<T> refused = new ArrayList<>(4);
        for (Map<Long, T> arc : List.of(points.tailMap(point), points.headMap(point))) {
            for (T member : arc.values()) {
                if (!refused.contains(member) && refused.add(member) && willDo.test(member)) {
                    return member;
                }
            }
        }
        return null;
    }

    private static long hash(String text) {
        return text.chars().asLongStream().reduce(0, (hash, letter) -> mix(hash ^ letter));
    }

    /** The finalizer of SplitMix64 (Steele, Lea, Flood, 2014). */
    public static long mix(long value) {
        long z = value + 0x9E3779B97F4A7C15L;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
