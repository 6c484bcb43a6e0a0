package clovermill.routing.stats;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/**
 * A consistent-hash ring (Karger et al., 1997): each member has virtual nodes in proportion to its weight. The ring is
 * a function of ids and weights alone, so it is the same at every director. Not thread-safe.
 */
public final class HashRing<T> {

    /** Virtual nodes of a member of mean weight; the shares of a few members then differ by about a tenth. */
    private static final int VIRTUAL_NODES = 100;

    private final TreeMap<Long, T> virtualNodes = new TreeMap<>();
    /** The number of virtual nodes of each member. */
    private Map<T, Long> counts = new LinkedHashMap<>();

    /**
     * Replaces all members. Hashes only those whose number of virtual nodes changes; otherwise a list of some hundred
     * members that reports its changes one by one would have all of them hashed each time.
     */
    public void setMembers(List<T> members, Function<T, String> id, ToDoubleFunction<T> weight) {
        double totalWeight = members.stream().mapToDouble(weight).sum();
        Map<T, Long> wanted = new LinkedHashMap<>();
        for (T member : members) {
            wanted.put(member, Math.max(1,
                    Math.round(VIRTUAL_NODES * weight.applyAsDouble(member) * members.size() / totalWeight)));
        }
        // Removed first: a new member may have the id, and thus the points, of a removed one.
        counts.forEach((member, count) -> {
            long kept = wanted.getOrDefault(member, 0L);
            if (kept < count) {
                points(id.apply(member), kept, count).forEach(point -> virtualNodes.remove(point, member));
            }
        });
        wanted.forEach((member, count) -> {
            long present = counts.getOrDefault(member, 0L);
            if (present < count) {
                points(id.apply(member), present, count).forEach(point -> virtualNodes.put(point, member));
            }
        });
        counts = wanted;
    }

    /** Returns the points of a member's virtual nodes {@code from} to {@code to}, exclusive. */
    private static LongStream points(String id, long from, long to) {
        long seed = hash(id);
        return LongStream.range(from, to).map(number -> mix(seed + number));
    }

    /** Returns the first accepted member clockwise from a point, or null; tests each member at most once. */
    public T firstClockwise(long point, Predicate<T> accepts) {
        List<T> tested = new ArrayList<>(4);
        for (Map<Long, T> arc : List.of(virtualNodes.tailMap(point), virtualNodes.headMap(point))) {
            for (T member : arc.values()) {
                if (!tested.contains(member) && tested.add(member) && accepts.test(member)) {
                    return member;
                }
            }
        }
        return null;
    }

    private static long hash(String text) {
        return text.chars().asLongStream().reduce(0, (hash, letter) -> mix(hash ^ letter));
    }

    /** Spreads the bits of a value: the finalizer of SplitMix64 (Steele, Lea, Flood, 2014). */
    public static long mix(long value) {
        long z = value + 0x9E3779B97F4A7C15L;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
