package clovermill.simulation.emulator.policystore;

import clovermill.controlplane.consensus.MemoryRaftStorage;
import clovermill.controlplane.policystore.PolicyRules;
import clovermill.controlplane.policystore.PolicyStoreTask;
import clovermill.controlplane.policystore.PolicyTaskMessage;
import clovermill.controlplane.policystore.PolicyView;
import clovermill.controlplane.policystore.decide.LeaseTiming;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.ProposalResult;
import clovermill.controlplane.policystore.decide.PolicyTransition;
import clovermill.simulation.emulator.world.World;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.zip.CRC32C;

/**
 * Directors that hold one policy, on the emulated world: operators change it at any of them while processes die, stop,
 * lose disks, and links are lost and cut. An {@link InvariantChecker} sees what each does by which version. One seed
 * gives one run.
 */
public final class PolicyFleet {

    /**
     * A run: so many directors of which the first vote; an operator's change every so often; a fault every so often,
     * until shortly before the end, which is calm.
     */
    public record Case(int directors, int voters, int seconds, double changeEveryS, double faultEveryS, double loss) {}

    /**
     * What was seen. {@code commitMs}: from an operator's call to its policy in force alone at the director that took
     * it; {@code blindMs}: the longest that a director that was up had no lease in the calm at the end.
     */
    public record Figures(int changes, int settled, int takenBack, int faults, long broken, String first,
            List<Long> commitMs, long blindMs, boolean agreed, long sent, long digest) {}

    private static final long SECOND_US = 1_000_000;
    private static final long LOOK_US = 10_000;
    private static final long CALM_S = 30;
    /** A policy that the directors with an odd number cannot keep. */
    private static final String BAD = "bad";

    private final Case plan;
    private final World<PolicyTaskMessage> world;
    private final Random chance;
    private final LeaseTiming timing;
    private final List<MemoryRaftStorage> disks = new ArrayList<>();
    private final PolicyView[] views;
    private final long[] blindSinceUs;
    private final InvariantChecker checker = new InvariantChecker();
    private final CRC32C digest = new CRC32C();
    private final List<Long> commitMs = new ArrayList<>();
    private int changes;
    private int settled;
    private int takenBack;
    private int faults;
    private long blindUs;

    private PolicyFleet(Case plan, long seed) {
        this.plan = plan;
        this.timing = new LeaseTiming(plan.directors(), 5 * SECOND_US, SECOND_US, 0.01);
        this.world = new World<>(plan.directors(), timing.drift(), seed);
        this.chance = new Random(seed * 31 + 7);
        this.views = new PolicyView[plan.directors()];
        this.blindSinceUs = new long[plan.directors()];
        for (int i = 0; i < plan.directors(); i++) {
            disks.add(i < plan.voters() ? new MemoryRaftStorage() : null);
            views[i] = PolicyView.NONE;
        }
    }

    /** Plays a case. */
    public static Figures play(Case plan, long seed) {
        return new PolicyFleet(plan, seed).run();
    }

    private void start(int i) {
        views[i] = PolicyView.NONE;
        List<Integer> voters = IntStream.range(0, plan.voters()).boxed().toList();
        Random own = new Random(world.random().nextLong());
        world.machine(i).start(clock -> new PolicyStoreTask(new PolicyStoreTask.Membership(i, voters, timing),
                new PolicyRules(
                        text -> i % 2 == 1 && text.text().contains(BAD) ? "it is bad" : null, (old, next) -> true),
                (to, message) -> world.send(i, to, new PolicyTaskMessage.MessageReceived(message)), disks.get(i), own,
                view -> views[i] = view, clock));
    }

    private Figures run() {
        IntStream.range(0, plan.directors()).forEach(this::start);
        world.links(plan.loss(), 3000);
        long end = plan.seconds() * SECOND_US;
        long calmFrom = end - CALM_S * SECOND_US;
        every(plan.changeEveryS(), end - 10 * SECOND_US, this::change);
        every(plan.faultEveryS(), calmFrom, this::fault);
        world.at(calmFrom, this::calm);
        for (long at = LOOK_US; at <= end; at += LOOK_US) {
            world.run(at);
            look(at, at > calmFrom + 10 * SECOND_US);
        }
        PolicyTransition step = views[0].step();
        boolean agreed = step != null && IntStream.range(0, plan.directors()).allMatch(i -> step.equals(views[i].step())
                && views[i].isValid(world.machine(i).clock()));
        return new Figures(changes, settled, takenBack, faults, checker.broken(), checker.first(), commitMs,
                blindUs / 1000, agreed, world.sent(), digest.getValue());
    }

    private void every(double seconds, long until, Runnable what) {
        if (seconds > 0) {
            long next = world.nowUs() + (long) (seconds * SECOND_US * (0.5 + chance.nextDouble()));
            if (next < until) {
                world.at(next, () -> {
                    what.run();
                    every(seconds, until, what);
                });
            }
        }
    }

    /** What everybody may do is done, and seen. */
    private void look(long at, boolean calm) {
        checker.moment();
        for (int i = 0; i < plan.directors(); i++) {
            World<PolicyTaskMessage>.Machine machine = world.machine(i);
            boolean holds = machine.up() && views[i].isValid(machine.clock());
            if (holds) {
                PolicyTransition step = views[i].step();
                checker.acted(at, i, step.version(), step.next());
                note(i + ":" + step + "@" + at);
            }
            blindSinceUs[i] = holds || !calm ? at : blindSinceUs[i];
            blindUs = Math.max(blindUs, at - blindSinceUs[i]);
        }
        checker.checkMoment(at);
    }

    private void note(String what) {
        digest.update(what.getBytes(StandardCharsets.US_ASCII));
    }

    /** An operator calls at some director, sometimes at two at once, with what follows the version seen there. */
    private void change() {
        for (int calls = chance.nextInt(4) == 0 ? 2 : 1; calls > 0; calls--) {
            int at = chance.nextInt(plan.directors());
            PolicyTransition step = views[at].step();
            if (!world.machine(at).alive() || step == null) {
                continue;
            }
            String text = "{\"change\":" + ++changes + (chance.nextInt(6) == 0 ? ",\"" + BAD + "\":1" : "")
                    + ",\"fill\":\"" + "x".repeat(chance.nextInt(3000)) + "\"}";
            long calledUs = world.nowUs();
            PolicyDocument policy = PolicyDocument.of(text);
            world.machine(at).hand(new PolicyTaskMessage.ChangeRequested(step.version(), policy, (taken, version) -> {
                note("wanted " + taken + " " + version);
                if (taken == ProposalResult.BEGUN || taken == ProposalResult.SAME) {
                    follow(at, policy, calledUs);
                }
            }));
            if (chance.nextInt(10) == 0) {
                world.at(world.nowUs() + 200_000, () -> world.machine(at).hand(new PolicyTaskMessage.ChangeRequested(
                        views[at].step() == null ? 0 : views[at].step().next(), null, (taken, version) -> {})));
            }
        }
    }

    private void follow(int at, PolicyDocument policy, long calledUs) {
        PolicyView view = views[at];
        if (view.step() != null && !view.step().inTransition() && view.policy().equals(policy)) {
            settled++;
            commitMs.add((world.nowUs() - calledUs) / 1000);
        } else if (world.nowUs() - calledUs < 60 * SECOND_US) {
            world.at(world.nowUs() + LOOK_US, () -> follow(at, policy, calledUs));
        } else {
            takenBack++;
        }
    }

    private void fault() {
        faults++;
        int which = chance.nextInt(plan.directors());
        World<PolicyTaskMessage>.Machine machine = world.machine(which);
        long lastsUs = (long) (chance.nextDouble() * chance.nextDouble() * 20 * SECOND_US);
        long until = world.nowUs() + lastsUs;
        switch (chance.nextInt(8)) {
            case 0, 1 -> kill(which, lastsUs, false);
            case 2 -> kill(which, lastsUs, true);
            case 3 -> machine.stop(lastsUs);
            case 4 -> IntStream.range(0, plan.directors()).forEach(other -> cut(which, other, until, false));
            case 5 -> IntStream.range(0, plan.directors()).forEach(other -> cut(which, other, until, true));
            case 6 -> {
                boolean[] side = new boolean[plan.directors()];
                IntStream.range(0, side.length).forEach(i -> side[i] = chance.nextBoolean());
                for (int i = 0; i < side.length; i++) {
                    for (int j = 0; j < side.length; j++) {
                        if (side[i] && !side[j]) {
                            cut(i, j, until, true);
                        }
                    }
                }
            }
            default -> {
                world.links(0.4, 200_000);
                world.at(until, () -> world.links(plan.loss(), 3000));
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

    /** Of the voters no more lose their disk than a group can bear at a time. */
    private void kill(int which, long forUs, boolean losesDisk) {
        if (!world.machine(which).alive()) {
            return;
        }
        world.machine(which).kill();
        views[which] = PolicyView.NONE;
        if (losesDisk && which == 0 && disks.get(which) != null) {
            disks.get(which).clear();
        }
        world.at(world.nowUs() + forUs, () -> {
            if (!world.machine(which).alive()) {
                start(which);
            }
        });
    }

    private void calm() {
        world.mend();
        world.links(plan.loss(), 3000);
        for (int i = 0; i < plan.directors(); i++) {
            if (!world.machine(i).alive()) {
                start(i);
            }
        }
    }

    /** Seeds from, to; directors; voters; seconds: one line a run that breaks the promise, and one for all. */
    public static void main(String[] args) {
        Case plan = new Case(Integer.parseInt(args[2]), Integer.parseInt(args[3]), Integer.parseInt(args[4]), 3, 2,
                0.01);
        for (long seed = Long.parseLong(args[0]); seed < Long.parseLong(args[1]); seed++) {
            Figures figures = play(plan, seed);
            System.out.println(seed + " " + figures);
        }
    }
}
