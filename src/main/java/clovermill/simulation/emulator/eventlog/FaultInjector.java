package clovermill.simulation.emulator.eventlog;

import java.util.Random;
import java.util.stream.IntStream;

/**
 * Injects random faults into an {@link EventLogFleet}: machines that crash, pause or lose their disk, links that are
 * cut in one or both directions, partitions of the fleet, torn snapshots, and links with high loss and delay.
 */
final class FaultInjector {

    private static final long SECOND_US = 1_000_000;
    private static final long MAX_FAULT_US = 20 * SECOND_US;
    private static final long RESTART_AFTER_TORN_SNAPSHOT_US = 10 * SECOND_US;
    private static final int MAX_CHUNKS_UNTIL_CRASH = 8;
    private static final double BAD_LINK_LOSS = 0.4;
    private static final long BAD_LINK_DELAY_US = 200_000;

    private final EventLogFleet fleet;
    private final Random random;
    private final int machines;
    private int injected;

    /** Creates an injector for a fleet of {@code machines} machines; the faults are drawn from {@code random}. */
    FaultInjector(EventLogFleet fleet, int machines, Random random) {
        this.fleet = fleet;
        this.machines = machines;
        this.random = random;
    }

    /** Returns the number of injected faults. */
    int injected() {
        return injected;
    }

    /** Starts one fault, which ends by itself within 20 seconds, a torn snapshot within 30. */
    void inject() {
        injected++;
        int machine = random.nextInt(3) > 0 ? random.nextInt(EventLogFleet.REPLICAS) : random.nextInt(machines);
        long durationUs = (long) (random.nextDouble() * random.nextDouble() * MAX_FAULT_US);
        long untilUs = fleet.nowUs() + durationUs;
        switch (random.nextInt(9)) {
            case 0, 1 -> killFor(machine, durationUs, false);
            case 2 -> killFor(machine, durationUs, true);
            case 3 -> fleet.pause(machine, durationUs);
            case 4 -> IntStream.range(0, machines).forEach(other -> cutUntil(machine, other, untilUs, false));
            case 5 -> IntStream.range(0, machines).forEach(other -> cutUntil(machine, other, untilUs, true));
            case 6 -> partitionUntil(untilUs);
            case 7 -> tearSnapshot(machine % EventLogFleet.REPLICAS, untilUs + RESTART_AFTER_TORN_SNAPSHOT_US);
            default -> degradeLinksUntil(untilUs);
        }
    }

    private void partitionUntil(long untilUs) {
        boolean[] side = new boolean[machines];
        IntStream.range(0, side.length).forEach(i -> side[i] = random.nextBoolean());
        for (int i = 0; i < side.length; i++) {
            for (int j = 0; j < side.length; j++) {
                if (side[i] && !side[j]) {
                    cutUntil(i, j, untilUs, true);
                }
            }
        }
    }

    private void tearSnapshot(int replica, long restartUs) {
        fleet.crashAtSnapshotChunk(replica, 1 + random.nextInt(MAX_CHUNKS_UNTIL_CRASH));
        fleet.at(restartUs, () -> fleet.startIfDown(replica));
    }

    private void degradeLinksUntil(long untilUs) {
        fleet.degradeLinks(BAD_LINK_LOSS, BAD_LINK_DELAY_US);
        fleet.at(untilUs, fleet::restoreLinks);
    }

    private void cutUntil(int one, int other, long untilUs, boolean bothDirections) {
        fleet.cut(one, other, true);
        fleet.cut(other, one, bothDirections);
        fleet.at(untilUs, () -> {
            fleet.cut(one, other, false);
            fleet.cut(other, one, false);
        });
    }

    /** Kills a machine for a while. Only replica 0 ever loses its disk: the log tolerates one lost disk at a time. */
    private void killFor(int machine, long durationUs, boolean losesDisk) {
        if (!fleet.alive(machine)) {
            return;
        }
        fleet.kill(machine);
        if (losesDisk && machine == 0) {
            fleet.loseDisk(machine);
        }
        fleet.at(fleet.nowUs() + durationUs, () -> fleet.startIfDown(machine));
    }
}
