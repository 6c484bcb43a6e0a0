package clovermill.prove;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The short form of the proof: three processes, all voters, some faults among the changes. */
class AccordProofTest {

    @Test
    void whatCachesSeeIsSentByOnePolicyAtATime() throws Exception {
        assertThat(AccordProof.shortly(3)).contains("mixed=0", "half=0").endsWith("holds=true");
    }
}
