package clovermill.prove.scale;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.IntPredicate;
import java.util.random.RandomGenerator;

/** Decides the delay or loss of a datagram between two directors. Does no I/O. */
final class LinkRules {

    /** The delay of a datagram that is lost. */
    static final long LOST = -1;

    /** A partition in one direction: no datagram from matching senders reaches matching receivers. */
    record Partition(IntPredicate from, IntPredicate to) {}

    private final double loss;
    private final double delayShare;
    private final List<Partition> partitions = new CopyOnWriteArrayList<>();

    /**
     * Creates rules without a partition.
     *
     * @param loss share of datagrams that are lost at random
     * @param delayShare factor on the link delays between locations
     */
    LinkRules(double loss, double delayShare) {
        this.loss = loss;
        this.delayShare = delayShare;
    }

    /** Adds a partition, effective immediately. */
    void partition(Partition partition) {
        partitions.add(partition);
    }

    /** Removes all partitions. */
    void heal() {
        partitions.clear();
    }

    /** Returns the delay of a datagram in microseconds, or {@link #LOST}. */
    long delayUs(int from, int to, RandomGenerator random) {
        for (Partition partition : partitions) {
            if (partition.from.test(from) && partition.to.test(to)) {
                return LOST;
            }
        }
        return random.nextDouble() < loss ? LOST : (long) (delayShare * Topology.delayUs(from, to));
    }
}
