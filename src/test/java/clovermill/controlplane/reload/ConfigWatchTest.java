package clovermill.controlplane.reload;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.controlplane.reload.ConfigWatch.Attributes;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ConfigWatchTest {

    private final ConfigWatch watch = new ConfigWatch(file(1, 10, 100));

    @Test
    void doesNotReadAnUnchangedFile() {
        assertThat(watch.shouldRead(file(1, 10, 100))).isFalse();
        assertThat(watch.shouldRead(file(1, 10, 100))).isFalse();
    }

    /** Guards against missing a second write of the same length within one tick of the file system's time. */
    @Test
    void readsAChangedFileAgainAtTheNextCheck() {
        Optional<Attributes> changed = file(1, 10, 101);
        assertThat(watch.shouldRead(changed)).isTrue();
        assertThat(watch.shouldRead(changed)).isTrue();
        assertThat(watch.shouldRead(changed)).isFalse();
    }

    @Test
    void readsAfterAChangeOfIdentitySizeOrTime() {
        assertThat(watch.shouldRead(file(2, 10, 100))).isTrue();
        assertThat(watch.shouldRead(file(2, 11, 100))).isTrue();
        assertThat(watch.shouldRead(file(2, 11, 99))).isTrue();
    }

    @Test
    void logsAnInvalidFileOnlyIfItPersists() {
        watch.shouldRead(file(1, 4, 101));
        assertThat(watch.shouldWarn()).isFalse();
        watch.shouldRead(file(1, 8, 102));
        assertThat(watch.shouldWarn()).isFalse();
        watch.shouldRead(file(1, 8, 102));
        assertThat(watch.shouldWarn()).isTrue();
        assertThat(watch.shouldWarn()).isFalse();
    }

    @Test
    void doesNotLogABrieflyMissingFile() {
        assertThat(watch.shouldRead(Optional.empty())).isFalse();
        assertThat(watch.shouldWarn()).isFalse();
        assertThat(watch.shouldRead(Optional.empty())).isFalse();
        assertThat(watch.shouldWarn()).isTrue();
        assertThat(watch.shouldRead(file(1, 10, 100))).isFalse();
    }

    @Test
    void forcedReadReadsAnUnchangedFile() {
        watch.forceRead();
        assertThat(watch.shouldRead(file(1, 10, 100))).isTrue();
    }

    private static Optional<Attributes> file(int identity, long sizeBytes, long modifiedNanos) {
        return Optional.of(new Attributes(identity, sizeBytes, modifiedNanos));
    }
}
