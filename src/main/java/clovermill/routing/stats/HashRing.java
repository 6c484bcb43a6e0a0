package clovermill.routing.stats;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ObjIntConsumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/**
 * A consistent-hash ring (Karger et al., 1997): each member has virtual nodes in proportion to its weight. The ring is
 * a function of ids and weights alone, so it is the same at every director. The virtual nodes lie in sorted arrays, 12
 * bytes each. Not thread-safe.
 */
public final class HashRing<T> {

    /** Virtual nodes of a member of mean weight; the shares of a few members then differ by about a tenth. */
    private static final int VIRTUAL_NODES = 100;

    private record VirtualNode<T>(long point, T member) {}

    /** The points of the virtual nodes in ascending order, and the member of each. */
    private long[] points = {};
    private Object[] owners = {};
    private int size;
    /** The members of the last list, and the number of virtual nodes of each. */
    private List<T> members = List.of();
    private int[] shares = {};

    /**
     * Replaces all members. Hashes only those whose number of virtual nodes changes; otherwise a list of some hundred
     * members that reports its changes one by one would have all of them hashed each time.
     */
    public void setMembers(List<T> listed, Function<T, String> id, ToDoubleFunction<T> weight) {
        LongStream.Builder removed = LongStream.builder();
        int[] present = presentShares(listed, (gone, share) -> points(id.apply(gone), 0, share).forEach(removed));
        double totalWeight = 0;
        for (T member : listed) {
            totalWeight += weight.applyAsDouble(member);
        }
        List<VirtualNode<T>> added = new ArrayList<>();
        for (int i = 0; i < present.length; i++) {
            T member = listed.get(i);
            int from = present[i];
            int wanted = (int) Math.max(1,
                    Math.round(VIRTUAL_NODES * weight.applyAsDouble(member) * present.length / totalWeight));
            if (wanted < from) {
                points(id.apply(member), wanted, from).forEach(removed);
            } else if (wanted > from) {
                points(id.apply(member), from, wanted).forEach(point -> added.add(new VirtualNode<>(point, member)));
            }
            present[i] = wanted;
        }
        members = List.copyOf(listed);
        shares = present;
        // Removed first: a new member may have the id, and thus the points, of a removed one.
        remove(removed.build().sorted().toArray());
        added.sort(Comparator.comparingLong(VirtualNode::point));
        insert(added);
    }

    /**
     * Returns the number of virtual nodes that the ring has of each listed member, and passes on those members with
     * theirs that are not listed. Looks up only what lies between the equal beginnings and ends of both lists.
     */
    private int[] presentShares(List<T> listed, ObjIntConsumer<T> gone) {
        int shorter = Math.min(members.size(), listed.size());
        int head = 0;
        while (head < shorter && members.get(head) == listed.get(head)) {
            head++;
        }
        int tail = 0;
        while (tail < shorter - head
                && members.get(members.size() - 1 - tail) == listed.get(listed.size() - 1 - tail)) {
            tail++;
        }
        Map<T, Integer> between = new HashMap<>();
        for (int i = head; i < members.size() - tail; i++) {
            between.put(members.get(i), shares[i]);
        }
        int[] present = new int[listed.size()];
        System.arraycopy(shares, 0, present, 0, head);
        System.arraycopy(shares, members.size() - tail, present, listed.size() - tail, tail);
        for (int i = head; i < listed.size() - tail; i++) {
            Integer share = between.remove(listed.get(i));
            present[i] = share == null ? 0 : share;
        }
        between.forEach(gone::accept);
        return present;
    }

    /** Returns the points of a member's virtual nodes {@code from} to {@code to}, exclusive. */
    private static LongStream points(String id, long from, long to) {
        long seed = hash(id);
        return LongStream.range(from, to).map(number -> mix(seed + number));
    }

    /** Removes the virtual nodes at points in ascending order. */
    private void remove(long[] removed) {
        int kept = 0;
        int next = 0;
        for (long point : removed) {
            int at = Arrays.binarySearch(points, next, size, point);
            if (at >= 0) {
                kept = move(next, at, kept);
                next = at + 1;
            }
        }
        if (removed.length > 0) {
            int end = size;
            size = move(next, end, kept);
            Arrays.fill(owners, size, end, null);
        }
    }

    /** Moves the virtual nodes {@code from} to {@code to}, exclusive, to an index; returns the index behind them. */
    private int move(int from, int to, int target) {
        System.arraycopy(points, from, points, target, to - from);
        System.arraycopy(owners, from, owners, target, to - from);
        return target + to - from;
    }

    /** Inserts virtual nodes in ascending order of their points. */
    private void insert(List<VirtualNode<T>> added) {
        int end = size;
        int target = size + added.size();
        reserve(target);
        size = target;
        for (int i = added.size() - 1; i >= 0; i--) {
            VirtualNode<T> node = added.get(i);
            int at = Arrays.binarySearch(points, 0, end, node.point);
            int first = at < 0 ? -at - 1 : at;
            target -= end - first;
            move(first, end, target);
            end = first;
            target--;
            points[target] = node.point;
            owners[target] = node.member;
        }
    }

    /** Ensures room for a number of virtual nodes and gives back room of which less than half is used. */
    private void reserve(int nodes) {
        if (nodes > points.length || nodes < points.length / 2) {
            int capacity = nodes + nodes / 8;
            points = Arrays.copyOf(points, capacity);
            owners = Arrays.copyOf(owners, capacity);
        }
    }

    /** Returns the first accepted member clockwise from a point, or null; tests each member at most once. */
    public T firstClockwise(long point, Predicate<T> accepts) {
        int at = Arrays.binarySearch(points, 0, size, point);
        int first = at < 0 ? -at - 1 : at;
        Set<Object> rejected = Set.of();
        for (int i = first; i < first + size && rejected.size() < members.size(); i++) {
            @SuppressWarnings("unchecked") // only members are stored
            T member = (T) owners[i < size ? i : i - size];
            if (!rejected.contains(member)) {
                if (accepts.test(member)) {
                    return member;
                }
                rejected = rejected.isEmpty() ? new HashSet<>() : rejected;
                rejected.add(member);
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
