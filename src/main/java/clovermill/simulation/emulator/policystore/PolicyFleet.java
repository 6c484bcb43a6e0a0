package clovermill.simulation.emulator.policystore;

import clovermill.controlplane.consensus.MemoryRaftStorage;
import clovermill.controlplane.policystore.PolicyRules;
import clovermill.controlplane.policystore.PolicyStoreTask;
import clovermill.controlplane.policystore.PolicyTaskMessage;
import clovermill.controlplane.policystore.PolicyView;
import clovermill.controlplane.policystore.decide.LeaseTiming;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyTransition;
import clovermill.controlplane.policystore.decide.ProposalResult;
import clovermill.simulation.emulator.world.World;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.zip.CRC32C;

/**
 * A fleet of production {@link PolicyStoreTask}s on the emulated world. Operators change the policy at any director
 * while processes are killed and paused, disks are lost, and links lose messages and are cut. An {@link
 * InvariantChecker} observes which version each director applies. The seed determines the run.
 */
public final class PolicyFleet {

    /**
     * The parameters of a run. The last 30 seconds are without faults.
     *
     * @param voters number of directors that vote, from number 0 on
     * @param seconds the length of the run
     * @param changeIntervalSeconds the mean interval between operators' changes; 0 for none
     * @param faultIntervalSeconds the mean interval between faults; 0 for none
     * @param loss the share of messages that are lost
     */
    public record Scenario(int directors, int voters, int seconds, double changeIntervalSeconds,
            double faultIntervalSeconds, double loss) {}

    /**
     * The result of a run.
     *
     * @param violations number of invariant violations
     * @param firstViolation description of the first violation, or null
     * @param commitMs times from each operator's request until the director that received it applied only that policy
     * @param maxLeaselessMs the longest time that a running director had no lease in the fault-free end phase
     * @param agreed whether all directors have a valid lease on the same step at the end
     * @param sent number of messages that were sent
     * @param digest checksum of all observations
     */
    public record PolicyMetrics(int changes, int completed, int aborted, int faults, long violations,
            String firstViolation,
            List<Long> commitMs, long maxLeaselessMs, boolean agreed, long sent, long digest) {}

    private static final long SECOND_US = 1_000_000;
    private static final long US_PER_MS = 1000;
    private static final long LEASE_US = 5 * SECOND_US;
    private static final double DRIFT = 0.01;
    private static final long OBSERVATION_INTERVAL_US = 10_000;
    private static final long FAULT_FREE_END_US = 30 * SECOND_US;
    /** Time after the last fault within which every director must have a lease. */
    private static final long RECOVERY_US = 10 * SECOND_US;
    /** Time after which a change that is not in force counts as aborted. */
    private static final long CHANGE_TIMEOUT_US = 60 * SECOND_US;
    private static final long MAX_FAULT_US = 20 * SECOND_US;
    private static final long ABORT_DELAY_US = 200_000;
    private static final long LINK_DELAY_US = 3000;
    private static final long SLOW_LINK_DELAY_US = 200_000;
    private static final double LOSSY_LINK_LOSS = 0.4;
    /** Text in a policy that makes directors with an odd number reject it. */
    private static final String REJECTED_TEXT = "bad";

    private final Scenario scenario;
    private final World<PolicyTaskMessage> world;
    private final Random random;
    private final LeaseTiming timing;
    private final List<MemoryRaftStorage> disks = new ArrayList<>();
    private final PolicyView[] views;
    private final long[] leaselessSinceUs;
    private final InvariantChecker checker = new InvariantChecker();
    private final CRC32C digest = new CRC32C();
    private final List<Long> commitMs = new ArrayList<>();
    private int changes;
    private int completed;
    private int aborted;
    private int faults;
    private long maxLeaselessUs;

    private PolicyFleet(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.timing = new LeaseTiming(scenario.directors(), LEASE_US, SECOND_US, DRIFT);
        this.world = new World<>(scenario.directors(), timing.drift(), seed);
        this.random = new Random(seed * 31 + 7);
        this.views = new PolicyView[scenario.directors()];
        this.leaselessSinceUs = new long[scenario.directors()];
        for (int i = 0; i < scenario.directors(); i++) {
            disks.add(i < scenario.voters() ? new MemoryRaftStorage() : null);
            views[i] = PolicyView.NONE;
        }
    }

    /** Simulates a scenario; the same seed gives the same metrics. */
    public static PolicyMetrics simulate(Scenario scenario, long seed) {
        return new PolicyFleet(scenario, seed).run();
    }

    private void startDirector(int i) {
        views[i] = PolicyView.NONE;
        List<Integer> voters = IntStream.range(0, scenario.voters()).boxed().toList();
        Random own = new Random(world.random().nextLong());
        world.machine(i).start(clock -> new PolicyStoreTask(new PolicyStoreTask.Membership(i, voters, timing),
                new PolicyRules(
                        text -> i % 2 == 1 && text.text().contains(REJECTED_TEXT) ? "rejected by an odd director"
                                : null,
                        (old, next) -> true),
                (to, message) -> world.send(i, to, new PolicyTaskMessage.MessageReceived(message)), disks.get(i), own,
                view -> views[i] = view, clock));
    }

    private PolicyMetrics run() {
        IntStream.range(0, scenario.directors()).forEach(this::startDirector);
        world.links(scenario.loss(), LINK_DELAY_US);
        long endUs = scenario.seconds() * SECOND_US;
        long faultsEndUs = endUs - FAULT_FREE_END_US;
        every(scenario.changeIntervalSeconds(), endUs - 10 * SECOND_US, this::requestChange);
        every(scenario.faultIntervalSeconds(), faultsEndUs, this::injectFault);
        world.at(faultsEndUs, this::endFaults);
        for (long at = OBSERVATION_INTERVAL_US; at <= endUs; at += OBSERVATION_INTERVAL_US) {
            world.run(at);
            observe(at, at > faultsEndUs + RECOVERY_US);
        }
        PolicyTransition step = views[0].step();
        boolean agreed =
                step != null && IntStream.range(0, scenario.directors()).allMatch(i -> step.equals(views[i].step())
                        && views[i].isValid(world.machine(i).clock()));
        return new PolicyMetrics(changes, completed, aborted, faults, checker.violations(), checker.firstViolation(),
                commitMs,
                maxLeaselessUs / US_PER_MS, agreed, world.sent(), digest.getValue());
    }

    private void every(double seconds, long until, Runnable action) {
        if (seconds > 0) {
            long next = world.nowUs() + (long) (seconds * SECOND_US * (0.5 + random.nextDouble()));
            if (next < until) {
                world.at(next, () -> {
                    action.run();
                    every(seconds, until, action);
                });
            }
        }
    }

    /** Passes the versions of every director with a valid lease to the checker. */
    private void observe(long at, boolean faultFree) {
        checker.beginMoment();
        for (int i = 0; i < scenario.directors(); i++) {
            World<PolicyTaskMessage>.Machine machine = world.machine(i);
            boolean leased = machine.up() && views[i].isValid(machine.clock());
            if (leased) {
                PolicyTransition step = views[i].step();
                checker.recordAction(at, i, step.version(), step.next());
                addToDigest(i + ":" + step + "@" + at);
            }
            leaselessSinceUs[i] = leased || !faultFree ? at : leaselessSinceUs[i];
            maxLeaselessUs = Math.max(maxLeaselessUs, at - leaselessSinceUs[i]);
        }
        checker.endMoment(at);
    }

    private void addToDigest(String event) {
        digest.update(event.getBytes(StandardCharsets.US_ASCII));
    }

    /** Requests a change at a random director, sometimes at two at once, based on the version in force there. */
    private void requestChange() {
        for (int remaining = random.nextInt(4) == 0 ? 2 : 1; remaining > 0; remaining--) {
            int at = random.nextInt(scenario.directors());
            PolicyTransition step = views[at].step();
            if (!world.machine(at).alive() || step == null) {
                continue;
            }
            String text = "{\"change\":" + ++changes + (random.nextInt(6) == 0 ? ",\"" + REJECTED_TEXT + "\":1" : "")
                    + ",\"fill\":\"" + "x".repeat(random.nextInt(3000)) + "\"}";
            long requestedUs = world.nowUs();
            PolicyDocument policy = PolicyDocument.of(text);
            world.machine(at)
                    .deliver(new PolicyTaskMessage.ChangeRequested(step.version(), policy, (result, version) -> {
                        addToDigest("wanted " + result + " " + version);
                        if (result == ProposalResult.BEGUN || result == ProposalResult.SAME) {
                            awaitCompletion(at, policy, requestedUs);
                        }
                    }));
            if (random.nextInt(10) == 0) {
                world.at(world.nowUs() + ABORT_DELAY_US,
                        () -> world.machine(at).deliver(new PolicyTaskMessage.ChangeRequested(
                                views[at].step() == null ? 0 : views[at].step().next(), null,
                                (result, version) -> {})));
            }
        }
    }

    private void awaitCompletion(int at, PolicyDocument policy, long requestedUs) {
        PolicyView view = views[at];
        if (view.step() != null && !view.step().inTransition() && view.policy().equals(policy)) {
            completed++;
            commitMs.add((world.nowUs() - requestedUs) / US_PER_MS);
        } else if (world.nowUs() - requestedUs < CHANGE_TIMEOUT_US) {
            world.at(world.nowUs() + OBSERVATION_INTERVAL_US, () -> awaitCompletion(at, policy, requestedUs));
        } else {
            aborted++;
        }
    }

    private void injectFault() {
        faults++;
        int which = random.nextInt(scenario.directors());
        World<PolicyTaskMessage>.Machine machine = world.machine(which);
        long durationUs = (long) (random.nextDouble() * random.nextDouble() * MAX_FAULT_US);
        long until = world.nowUs() + durationUs;
        switch (random.nextInt(8)) {
            case 0, 1 -> kill(which, durationUs, false);
            case 2 -> kill(which, durationUs, true);
            case 3 -> machine.pause(durationUs);
            case 4 -> IntStream.range(0, scenario.directors()).forEach(other -> cut(which, other, until, false));
            case 5 -> IntStream.range(0, scenario.directors()).forEach(other -> cut(which, other, until, true));
            case 6 -> {
                boolean[] side = new boolean[scenario.directors()];
                IntStream.range(0, side.length).forEach(i -> side[i] = random.nextBoolean());
                for (int i = 0; i < side.length; i++) {
                    for (int j = 0; j < side.length; j++) {
                        if (side[i] && !side[j]) {
                            cut(i, j, until, true);
                        }
                    }
                }
            }
            default -> {
                world.links(LOSSY_LINK_LOSS, SLOW_LINK_DELAY_US);
                world.at(until, () -> world.links(scenario.loss(), LINK_DELAY_US));
            }
        }
    }

    private void cut(int one, int other, long until, boolean bothWays) {
        world.cut(one, other, true);
        world.cut(other, one, bothWays);
        world.at(until, () -> {
            world.cut(one, other, false);
            world.cut(other, one, false);
        });
    }

    /** Kills a director for a while. Only voter 0 ever loses its disk: a majority must keep theirs. */
    private void kill(int which, long durationUs, boolean loseDisk) {
        if (!world.machine(which).alive()) {
            return;
        }
        world.machine(which).kill();
        views[which] = PolicyView.NONE;
        if (loseDisk && which == 0 && disks.get(which) != null) {
            disks.get(which).clear();
        }
        world.at(world.nowUs() + durationUs, () -> {
            if (!world.machine(which).alive()) {
                startDirector(which);
            }
        });
    }

    private void endFaults() {
        world.restoreLinks();
        world.links(scenario.loss(), LINK_DELAY_US);
        for (int i = 0; i < scenario.directors(); i++) {
            if (!world.machine(i).alive()) {
                startDirector(i);
            }
        }
    }

    /** Arguments: first seed, last seed (exclusive), directors, voters, seconds. Prints the metrics of each run. */
    public static void main(String[] args) {
        Scenario scenario =
                new Scenario(Integer.parseInt(args[2]), Integer.parseInt(args[3]), Integer.parseInt(args[4]), 3, 2,
                        0.01);
        for (long seed = Long.parseLong(args[0]); seed < Long.parseLong(args[1]); seed++) {
            PolicyMetrics metrics = simulate(scenario, seed);
            System.out.println(seed + " " + metrics);
        }
    }
}
