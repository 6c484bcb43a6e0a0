package clovermill.prove;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Short form of the proof: processes with clients while caches slow down, join and drain and load reports fail. */
class SpreadProofTest {

    @Test
    void processesSpreadLoadDuringFaultsWithoutBreakingRules() throws Exception {
        assertThat(SpreadProof.runProcessesShort()).contains("processes=3", "lost=0").endsWith("holds=true");
    }
}
