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

/** The local volume when syncs of a folder fail for a while. */
class VolumeTest {

    private static final Path DESCRIPTORS = Path.of("/proc/self/fd");

    @TempDir
    private Path folder;
    private Path file;
    private boolean folderSyncFails;
    private final Volume volume = new Volume.LocalVolume(synced -> {
        if (folderSyncFails) {
            throw new IOException("Input/output error");
        }
    });

    @BeforeEach
    void initFile() {
        file = folder.resolve("a");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Counts the descriptors of this process that refer to the file, also if it is deleted. */
    private long openDescriptors() throws IOException {
        try (Stream<Path> all = Files.list(DESCRIPTORS)) {
            return all.filter(each -> {
                try {
                    return Files.readSymbolicLink(each).toString().startsWith(file.toString());
                } catch (IOException closedConcurrently) {
                    return false;
                }
            }).count();
        }
    }

    @Test
    void failedCreateLeavesNeitherFileNorDescriptor() throws IOException {
        folderSyncFails = true;
        for (int tries = 0; tries < 3; tries++) {
            assertThatThrownBy(() -> volume.create(file)).hasMessage("Input/output error");
            assertThat(file).doesNotExist();
            assertThat(openDescriptors()).isZero();
        }
        folderSyncFails = false;
        try (Volume.Output output = volume.create(file)) {
            output.write(ByteBuffer.wrap(bytes("x")));
            output.force();
        }
        assertThat(file).hasContent("x");
    }

    @Test
    void replaceWithFailedFolderSyncIsCompleteAndCanBeRepeated() throws IOException {
        volume.replace(file, bytes("old"));
        folderSyncFails = true;
        assertThatThrownBy(() -> volume.replace(file, bytes("new"))).hasMessage("Input/output error");
        assertThat(file).hasContent("new");
        folderSyncFails = false;
        volume.replace(file, bytes("newer"));
        assertThat(file).hasContent("newer");
        assertThat(folder).isDirectoryContaining(each -> each.equals(file)).isDirectoryNotContaining("glob:**.new");
    }

    /** A folder with the name of the file makes the rename fail after the new file was written. */
    @Test
    void failedReplaceLeavesNoTemporaryFile() throws IOException {
        Files.createDirectories(file.resolve("in the way"));
        for (int tries = 0; tries < 2; tries++) {
            assertThatThrownBy(() -> volume.replace(file, bytes("new"))).isInstanceOf(IOException.class);
            assertThat(folder).isDirectoryNotContaining("glob:**.new");
        }
    }

    /** A partial replacement that a killed process left does not prevent the next one, whatever its content. */
    @Test
    void replaceOverwritesTemporaryFileOfKilledProcess() throws IOException {
        Files.write(folder.resolve("a.new"), bytes("a longer half than the whole"));
        volume.replace(file, bytes("new"));
        assertThat(file).hasContent("new");
        assertThat(folder).isDirectoryNotContaining("glob:**.new");
    }

    @Test
    void failedDeleteOrRenameIsReportedAndCanBeRepeated() throws IOException {
        Path other = folder.resolve("b");
        Files.write(other, bytes("b"));
        folderSyncFails = true;
        assertThatThrownBy(() -> volume.rename(other, file)).hasMessage("Input/output error");
        assertThatThrownBy(() -> volume.delete(file)).hasMessage("Input/output error");
        folderSyncFails = false;
        volume.delete(file);
        assertThat(file).doesNotExist();
    }
}
