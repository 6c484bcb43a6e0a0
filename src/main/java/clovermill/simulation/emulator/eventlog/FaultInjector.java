package clovermill.simulation.emulator.eventlog;

import java.util.Random;
import java.util.stream.IntStream;

/**
 * Draws faults for an {@link EventLogFleet} from its seed: machines that die, pause or lose their disk, links that are
 * cut one or both ways, a fleet that is split in two, torn snapshots, and links that lose and delay much.
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

    /** Faults in a fleet of so many machines, drawn from {@code random}. */
    FaultInjector(EventLogFleet fleet, int machines, Random random) {
        this.fleet = fleet;
        this.machines = machines;
        this.random = random;
    }

    /** Faults so far. */
    int injected() {
        return injected;
    }

    /** Begins one fault, which ends by itself within 20 seconds, a torn snapshot within 30. */
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
            case 6 -> split(untilUs);
            case 7 -> tearSnapshot(machine % EventLogFleet.REPLICAS, untilUs + RESTART_AFTER_TORN_SNAPSHOT_US);
            default -> worsenLinks(untilUs);
        }
    }

    private void split(long untilUs) {
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
        fleet.dieAtSnapshotChunk(replica, 1 + random.nextInt(MAX_CHUNKS_UNTIL_CRASH));
        fleet.at(restartUs, () -> fleet.startIfDown(replica));
    }

    private void worsenLinks(long untilUs) {
        fleet.degradeLinks(BAD_LINK_LOSS, BAD_LINK_DELAY_US);
        fleet.at(untilUs, fleet::restoreLinks);
    }

    private void cutUntil(int one, int other, long untilUs, boolean bothWays) {
        fleet.cut(one, other, true);
        fleet.cut(other, one, bothWays);
        fleet.at(untilUs, () -> {
            fleet.cut(one, other, false);
            fleet.cut(other, one, false);
        });
    }

    /** Of the replicas one at most, the first, loses its disk: the log promises nothing for more at a time. */
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
