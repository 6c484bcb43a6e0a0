package clovermill.director;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ClassDataArchiveRunTest {

    /** An archive from a run without answers would lack the classes that serving needs. */
    @Test
    void everyRequestIsAnswered() throws Exception {
        assertThat(ClassDataArchiveRun.run("example/config.json")).isEqualTo(20);
    }
}
