package clovermill.prove.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The short form of the proof: steps of an hour, calls that fail and are interrupted, starts, and a failing disk. */
class FaultProofTest {

    @Test
    void allRulesHoldWhileClocksAreSteppedAndCallsAndFilesFail() throws Exception {
        List<Integer> seeds = List.of(0, 3, 5, 6);
        assertThat(FaultProof.run(seeds, seeds.size())).startsWith("prove-faults: seeds=4 ").endsWith("holds=true");
    }
}
