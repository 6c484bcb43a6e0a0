package clovermill.prove;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Short form of the proof: three processes, all voters, with some faults between the changes. */
class AccordProofTest {

    @Test
    void whatCachesSeeIsSentByOnePolicyAtATime() throws Exception {
        assertThat(AccordProof.runShort(3)).contains("mixed=0", "half=0").endsWith("holds=true");
    }
}
