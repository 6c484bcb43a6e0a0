package clovermill.prove;

import clovermill.simulation.emulator.policystore.PolicyFleet.PolicyMetrics;
import clovermill.simulation.emulator.policystore.PolicyFleet.Scenario;
import clovermill.simulation.emulator.policystore.PolicyFleet;
import java.util.List;
import java.util.stream.LongStream;

/** Long proof of the policy store in the emulator ({@code make prove-accord-sim}): many fault seeds, large fleets. */
public final class AccordSimProof {

    private AccordSimProof() {}

    /** System property: seeds. */
    public static void main(String[] args) {
        int seeds = Integer.getInteger("seeds", 1000);
        Scenario faults = new Scenario(10, 5, 150, 3, 2, 0.01);
        List<PolicyMetrics> runs = LongStream.rangeClosed(1, seeds).parallel()
                .mapToObj(seed -> PolicyFleet.simulate(faults,
                        seed))
                .toList();
        long broken = runs.stream().mapToLong(PolicyMetrics::violations).sum();
        long half = runs.stream().filter(run -> !run.agreed()).count();
        List<Long> commits = runs.stream().flatMap(run -> run.commitMs().stream()).sorted().toList();
        boolean again = PolicyFleet.simulate(faults, 1).equals(runs.get(0));
        StringBuilder line = new StringBuilder("prove-accord-sim: directors=10 voters=5 seeds=" + seeds + " faults="
                + runs.stream().mapToLong(PolicyMetrics::faults).sum() + " changes="
                + runs.stream().mapToLong(PolicyMetrics::changes)
                        .sum()
                + " settled=" + commits.size() + " mixed=" + broken + " half=" + half + " commit_ms_p50="
                + commits.get(commits.size() / 2) + " blind_ms_max="
                + runs.stream().mapToLong(PolicyMetrics::maxLeaselessMs).max()
                        .orElse(0)
                + " same_again=" + again);
        boolean holds = broken == 0 && half == 0 && again;
        for (int directors : new int[] {10, 100, 1000}) {
            PolicyMetrics calm = PolicyFleet.simulate(new Scenario(directors, 5, 60, 4, 0, 0.01), 1);
            long most = calm.commitMs().stream().mapToLong(each -> each).max().orElse(-1);
            line.append(" calm_commit_ms_max_").append(directors).append('=').append(most).append(" datagrams_s_")
                    .append(directors).append('=').append(calm.sent() / 60);
            holds &= calm.violations() == 0 && calm.agreed() && most >= 0 && most <= 2000;
        }
        System.out.println(line + " holds=" + holds);
        System.exit(holds ? 0 : 1);
    }
}
