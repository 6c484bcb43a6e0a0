package clovermill.prove;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The short form of the proof: a process is killed before it is ready, the next ones take over. */
class UpgradeProofTest {

    @Test
    void noRequestIsLostWhileProcessesTakeOver() throws Exception {
        assumeTrue(Files.isExecutable(Path.of("/usr/bin/perl")), "perl holds the socket");
        assertThat(UpgradeProof.shortly(3, 60)).contains("upgrades=3", "kills=1").endsWith("holds=true");
    }
}
