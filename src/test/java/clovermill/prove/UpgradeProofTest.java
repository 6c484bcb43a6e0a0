package clovermill.prove;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Short form of the proof: a process is killed before it is ready, later ones complete the handover. */
class UpgradeProofTest {

    @Test
    void losesNoRequestDuringHandover() throws Exception {
        assumeTrue(Files.isExecutable(Path.of("/usr/bin/perl")), "perl holds the socket");
        assertThat(UpgradeProof.runShort(3, 60)).contains("upgrades=3", "kills=1").endsWith("holds=true");
    }
}
