package clovermill.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The local disk where a sync of the folder fails for a while. */
class VolumeTest {

    private static final Path DESCRIPTORS = Path.of("/proc/self/fd");

    @TempDir
    private Path folder;
    private Path file;
    private boolean folderFails;
    private final Volume volume = new Volume.LocalVolume(synced -> {
        if (folderFails) {
            throw new IOException("Input/output error");
        }
    });

    @BeforeEach
    void namesAFile() {
        file = folder.resolve("a");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Descriptors of this process that lead to the file, also where its name is gone. */
    private long descriptors() throws IOException {
        try (Stream<Path> all = Files.list(DESCRIPTORS)) {
            return all.filter(each -> {
                try {
                    return Files.readSymbolicLink(each).toString().startsWith(file.toString());
                } catch (IOException closedMeanwhile) {
                    return false;
                }
            }).count();
        }
    }

    @Test
    void aFileWhoseNameCannotBeMadeToLastIsNeitherLeftNorKeptOpen() throws IOException {
        folderFails = true;
        for (int tries = 0; tries < 3; tries++) {
            assertThatThrownBy(() -> volume.create(file)).hasMessage("Input/output error");
            assertThat(file).doesNotExist();
            assertThat(descriptors()).isZero();
        }
        folderFails = false;
        try (Volume.Output output = volume.create(file)) {
            output.write(ByteBuffer.wrap(bytes("x")));
            output.force();
        }
        assertThat(file).hasContent("x");
    }

    @Test
    void aReplacementWhoseNameCannotBeMadeToLastIsWholeAndTheNextTrySucceeds() throws IOException {
        volume.replace(file, bytes("old"));
        folderFails = true;
        assertThatThrownBy(() -> volume.replace(file, bytes("new"))).hasMessage("Input/output error");
        assertThat(file).hasContent("new");
        folderFails = false;
        volume.replace(file, bytes("newer"));
        assertThat(file).hasContent("newer");
        assertThat(folder).isDirectoryContaining(each -> each.equals(file)).isDirectoryNotContaining("glob:**.new");
    }

    /** A folder in the file's place makes the rename fail after the new file was written. */
    @Test
    void aReplacementThatFailsLeavesNoHalfFile() throws IOException {
        Files.createDirectories(file.resolve("in the way"));
        for (int tries = 0; tries < 2; tries++) {
            assertThatThrownBy(() -> volume.replace(file, bytes("new"))).isInstanceOf(IOException.class);
            assertThat(folder).isDirectoryNotContaining("glob:**.new");
        }
    }

    /** What a killed process left of a replacement is not in the way, whatever it holds. */
    @Test
    void aHalfFileOfAKilledProcessIsReplaced() throws IOException {
        Files.write(folder.resolve("a.new"), bytes("a longer half than the whole"));
        volume.replace(file, bytes("new"));
        assertThat(file).hasContent("new");
        assertThat(folder).isDirectoryNotContaining("glob:**.new");
    }

    @Test
    void aDeletionOrARenameWhoseNameCannotBeMadeToLastIsToldAndCanBeRepeated() throws IOException {
        Path other = folder.resolve("b");
        Files.write(other, bytes("b"));
        folderFails = true;
        assertThatThrownBy(() -> volume.rename(other, file)).hasMessage("Input/output error");
        assertThatThrownBy(() -> volume.delete(file)).hasMessage("Input/output error");
        folderFails = false;
        volume.delete(file);
        assertThat(file).doesNotExist();
    }
}
