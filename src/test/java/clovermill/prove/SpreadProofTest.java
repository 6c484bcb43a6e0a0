package clovermill.prove;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Real processes of the program, each with its own clients, while caches slow, join and leave and reports fail. */
class SpreadProofTest {

    @Test
    void processesSpreadTheirLoadThroughFaultsAndKeepTheRules() throws Exception {
        assertThat(SpreadProof.processesShortly()).contains("processes=3", "lost=0").endsWith("holds=true");
    }
}
