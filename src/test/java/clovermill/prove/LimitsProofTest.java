package clovermill.prove;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Short form of the proof: processes share a limit and a replicated map over links with faults. */
class LimitsProofTest {

    @Test
    void processesKeepLimitAndReplicatedEntriesDuringFaults() throws Exception {
        assertThat(LimitsProof.runProcessesShort()).contains("proc_lost=0").endsWith("holds=true");
    }
}
