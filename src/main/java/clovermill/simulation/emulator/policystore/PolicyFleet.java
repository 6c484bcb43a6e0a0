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
 * A fleet of real {@link PolicyStoreTask}s on the emulated world. Operators change the policy at any director while
 * processes are killed and paused, disks are lost, and links lose messages and are cut. An {@link InvariantChecker}
 * observes which director acts by which version. A seed determines the run.
 */
public final class PolicyFleet {

    /**
     * The parameters of a run. The last 30 seconds are without faults.
     *
     * @param voters how many of the directors vote, from number 0 on
     * @param seconds the length of the run
     * @param changeIntervalSeconds the mean interval between operators' changes; 0 for none
     * @param faultIntervalSeconds the mean interval between faults; 0 for none
     * @param loss the share of messages that are lost
     */
    public record Case(int directors, int voters, int seconds, double changeIntervalSeconds,
            double faultIntervalSeconds, double loss) {}

    /**
     * The result of a run.
     *
     * @param violations how often an invariant was violated
     * @param firstViolation a description, or null
     * @param commitMs from each operator's request to the policy alone in force at the director that received it
     * @param maxLeaselessMs the longest that a running director had no lease in the calm at the end
     * @param agreed whether all directors hold a valid lease on the same step at the end
     * @param sent how many messages were sent
     * @param digest a checksum of all that was observed
     */
    public record Figures(int changes, int completed, int aborted, int faults, long violations, String firstViolation,
            List<Long> commitMs, long maxLeaselessMs, boolean agreed, long sent, long digest) {}

    private static final long SECOND_US = 1_000_000;
    private static final long MILLI_US = 1000;
    private static final long LEASE_US = 5 * SECOND_US;
    private static final double DRIFT = 0.01;
    private static final long OBSERVATION_INTERVAL_US = 10_000;
    private static final long CALM_US = 30 * SECOND_US;
    /** How long after the last fault every director must have a lease. */
    private static final long RECOVERY_US = 10 * SECOND_US;
    /** A change that is not in force after so long counts as aborted. */
    private static final long CHANGE_TIMEOUT_US = 60 * SECOND_US;
    private static final long MAX_FAULT_US = 20 * SECOND_US;
    private static final long ABORT_DELAY_US = 200_000;
    private static final long LINK_DELAY_US = 3000;
    private static final long SLOW_LINK_DELAY_US = 200_000;
    private static final double LOSSY_LINK_LOSS = 0.4;
    /** A word in a policy that directors with an odd number reject. */
    private static final String REJECTED_WORD = "bad";

    private final Case plan;
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

    private PolicyFleet(Case plan, long seed) {
        this.plan = plan;
        this.timing = new LeaseTiming(plan.directors(), LEASE_US, SECOND_US, DRIFT);
        this.world = new World<>(plan.directors(), timing.drift(), seed);
        this.random = new Random(seed * 31 + 7);
        this.views = new PolicyView[plan.directors()];
        this.leaselessSinceUs = new long[plan.directors()];
        for (int i = 0; i < plan.directors(); i++) {
            disks.add(i < plan.voters() ? new MemoryRaftStorage() : null);
            views[i] = PolicyView.NONE;
        }
    }

    /** Runs a case with a seed. */
    public static Figures play(Case plan, long seed) {
        return new PolicyFleet(plan, seed).run();
    }

    private void startDirector(int i) {
        views[i] = PolicyView.NONE;
        List<Integer> voters = IntStream.range(0, plan.voters()).boxed().toList();
        Random own = new Random(world.random().nextLong());
        world.machine(i).start(clock -> new PolicyStoreTask(new PolicyStoreTask.Membership(i, voters, timing),
                new PolicyRules(
                        text -> i % 2 == 1 && text.text().contains(REJECTED_WORD) ? "rejected by an odd director"
                                : null,
                        (old, next) -> true),
                (to, message) -> world.send(i, to, new PolicyTaskMessage.MessageReceived(message)), disks.get(i), own,
                view -> views[i] = view, clock));
    }

    private Figures run() {
        IntStream.range(0, plan.directors()).forEach(this::startDirector);
        world.links(plan.loss(), LINK_DELAY_US);
        long end = plan.seconds() * SECOND_US;
        long calmFrom = end - CALM_US;
        every(plan.changeIntervalSeconds(), end - 10 * SECOND_US, this::requestChange);
        every(plan.faultIntervalSeconds(), calmFrom, this::injectFault);
        world.at(calmFrom, this::endFaults);
        for (long at = OBSERVATION_INTERVAL_US; at <= end; at += OBSERVATION_INTERVAL_US) {
            world.run(at);
            observe(at, at > calmFrom + RECOVERY_US);
        }
        PolicyTransition step = views[0].step();
        boolean agreed = step != null && IntStream.range(0, plan.directors()).allMatch(i -> step.equals(views[i].step())
                && views[i].isValid(world.machine(i).clock()));
        return new Figures(changes, completed, aborted, faults, checker.violations(), checker.firstViolation(),
                commitMs,
                maxLeaselessUs / MILLI_US, agreed, world.sent(), digest.getValue());
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

    /** Every director with a valid lease acts, and is observed. */
    private void observe(long at, boolean calm) {
        checker.beginMoment();
        for (int i = 0; i < plan.directors(); i++) {
            World<PolicyTaskMessage>.Machine machine = world.machine(i);
            boolean leased = machine.up() && views[i].isValid(machine.clock());
            if (leased) {
                PolicyTransition step = views[i].step();
                checker.recordAction(at, i, step.version(), step.next());
                addToDigest(i + ":" + step + "@" + at);
            }
            leaselessSinceUs[i] = leased || !calm ? at : leaselessSinceUs[i];
            maxLeaselessUs = Math.max(maxLeaselessUs, at - leaselessSinceUs[i]);
        }
        checker.endMoment(at);
    }

    private void addToDigest(String event) {
        digest.update(event.getBytes(StandardCharsets.US_ASCII));
    }

    /** Operators request a change at a random director, sometimes at two at once, on the version seen there. */
    private void requestChange() {
        for (int calls = random.nextInt(4) == 0 ? 2 : 1; calls > 0; calls--) {
            int at = random.nextInt(plan.directors());
            PolicyTransition step = views[at].step();
            if (!world.machine(at).alive() || step == null) {
                continue;
            }
            String text = "{\"change\":" + ++changes + (random.nextInt(6) == 0 ? ",\"" + REJECTED_WORD + "\":1" : "")
                    + ",\"fill\":\"" + "x".repeat(random.nextInt(3000)) + "\"}";
            long requestedUs = world.nowUs();
            PolicyDocument policy = PolicyDocument.of(text);
            world.machine(at).hand(new PolicyTaskMessage.ChangeRequested(step.version(), policy, (taken, version) -> {
                addToDigest("wanted " + taken + " " + version);
                if (taken == ProposalResult.BEGUN || taken == ProposalResult.SAME) {
                    awaitCompletion(at, policy, requestedUs);
                }
            }));
            if (random.nextInt(10) == 0) {
                world.at(world.nowUs() + ABORT_DELAY_US,
                        () -> world.machine(at).hand(new PolicyTaskMessage.ChangeRequested(
                                views[at].step() == null ? 0 : views[at].step().next(), null, (taken, version) -> {})));
            }
        }
    }

    private void awaitCompletion(int at, PolicyDocument policy, long requestedUs) {
        PolicyView view = views[at];
        if (view.step() != null && !view.step().inTransition() && view.policy().equals(policy)) {
            completed++;
            commitMs.add((world.nowUs() - requestedUs) / MILLI_US);
        } else if (world.nowUs() - requestedUs < CHANGE_TIMEOUT_US) {
            world.at(world.nowUs() + OBSERVATION_INTERVAL_US, () -> awaitCompletion(at, policy, requestedUs));
        } else {
            aborted++;
        }
    }

    private void injectFault() {
        faults++;
        int which = random.nextInt(plan.directors());
        World<PolicyTaskMessage>.Machine machine = world.machine(which);
        long durationUs = (long) (random.nextDouble() * random.nextDouble() * MAX_FAULT_US);
        long until = world.nowUs() + durationUs;
        switch (random.nextInt(8)) {
            case 0, 1 -> kill(which, durationUs, false);
            case 2 -> kill(which, durationUs, true);
            case 3 -> machine.stop(durationUs);
            case 4 -> IntStream.range(0, plan.directors()).forEach(other -> cut(which, other, until, false));
            case 5 -> IntStream.range(0, plan.directors()).forEach(other -> cut(which, other, until, true));
            case 6 -> {
                boolean[] side = new boolean[plan.directors()];
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
                world.at(until, () -> world.links(plan.loss(), LINK_DELAY_US));
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

    /** Only voter 0 ever loses its disk: a majority must keep theirs. */
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
        world.mend();
        world.links(plan.loss(), LINK_DELAY_US);
        for (int i = 0; i < plan.directors(); i++) {
            if (!world.machine(i).alive()) {
                startDirector(i);
            }
        }
    }

    /** Arguments: first seed, last seed (exclusive), directors, voters, seconds. Prints the figures of each run. */
    public static void main(String[] args) {
        Case plan = new Case(Integer.parseInt(args[2]), Integer.parseInt(args[3]), Integer.parseInt(args[4]), 3, 2,
                0.01);
        for (long seed = Long.parseLong(args[0]); seed < Long.parseLong(args[1]); seed++) {
            Figures figures = play(plan, seed);
            System.out.println(seed + " " + figures);
        }
    }
}
