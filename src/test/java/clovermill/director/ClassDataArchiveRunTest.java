package clovermill.director;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ClassDataArchiveRunTest {

    /** Without answers the archive would lack the classes that serving needs. */
    @Test
    void answersEveryRequest() throws Exception {
        assertThat(ClassDataArchiveRun.run("example/config.json")).isEqualTo(20);
    }
}
