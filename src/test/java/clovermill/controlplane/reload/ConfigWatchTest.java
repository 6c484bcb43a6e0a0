package clovermill.controlplane.reload;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.controlplane.reload.ConfigWatch.Stamp;
import org.junit.jupiter.api.Test;

/** What is read when, and what is said. */
class ConfigWatchTest {

    private final ConfigWatch watch = new ConfigWatch(new Stamp(1, 10, 100));

    @Test
    void whatStaysAsItIsIsNotRead() {
        assertThat(watch.look(new Stamp(1, 10, 100))).isFalse();
        assertThat(watch.look(new Stamp(1, 10, 100))).isFalse();
    }

    /** Guards against a second write within one tick of the file system's time, of the same length. */
    @Test
    void aChangeIsReadAndOnceMoreAtTheNextLook() {
        Stamp changed = new Stamp(1, 10, 101);
        assertThat(watch.look(changed)).isTrue();
        assertThat(watch.look(changed)).isTrue();
        assertThat(watch.look(changed)).isFalse();
    }

    @Test
    void identitySizeAndTimeAllCount() {
        assertThat(watch.look(new Stamp(2, 10, 100))).isTrue();
        assertThat(watch.look(new Stamp(2, 11, 100))).isTrue();
        assertThat(watch.look(new Stamp(2, 11, 99))).isTrue();
    }

    @Test
    void aHalfWrittenFileIsWarnedOfOnlyWhenItStaysSo() {
        watch.look(new Stamp(1, 4, 101));
        assertThat(watch.warns()).isFalse();
        watch.look(new Stamp(1, 8, 102));
        assertThat(watch.warns()).isFalse();
        watch.look(new Stamp(1, 8, 102));
        assertThat(watch.warns()).isTrue();
        assertThat(watch.warns()).isFalse();
    }

    @Test
    void aFileThatIsMissingBrieflyIsNotWarnedOf() {
        assertThat(watch.look(null)).isFalse();
        assertThat(watch.warns()).isFalse();
        assertThat(watch.look(null)).isFalse();
        assertThat(watch.warns()).isTrue();
        assertThat(watch.look(new Stamp(1, 10, 100))).isFalse();
    }

    @Test
    void aSignalHasTheSameFileReadAgain() {
        watch.forget();
        assertThat(watch.look(new Stamp(1, 10, 100))).isTrue();
    }
}
