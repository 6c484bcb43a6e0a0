package clovermill.prove.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Short form of the proof: clock steps of an hour, failing and interrupted calls, restarts, and a failing disk. */
class FaultProofTest {

    @Test
    void breaksNoRuleDuringClockStepsAndSocketAndFileErrors() throws Exception {
        List<Integer> seeds = List.of(0, 3, 5, 6);
        assertThat(FaultProof.run(seeds, seeds.size())).startsWith("prove-faults: seeds=4 ").endsWith("holds=true");
    }
}
