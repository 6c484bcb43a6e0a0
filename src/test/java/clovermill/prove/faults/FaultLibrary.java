package clovermill.prove.faults;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Builds the library of {@code src/test/c} with the machine's C compiler. */
final class FaultLibrary {

    /** Error message that names the package to install; without a compiler the proof fails. */
    static final String NO_COMPILER =
            "fault_injection.c cannot be built: no C compiler; install the Debian package gcc "
                    + "(with libc6-dev)";
    private static final Path SOURCE = Path.of("src", "test", "c", "fault_injection.c");

    private FaultLibrary() {}

    /** Builds the library in a folder with the command {@code cc} and returns its absolute path. */
    static Path build(Path folder) throws IOException, InterruptedException {
        return build(folder, "cc");
    }

    /**
     * Builds the library in a folder and returns its absolute path.
     *
     * @throws IOException with {@link #NO_COMPILER} if there is no such compiler, or with the compiler's output
     */
    static Path build(Path folder, String compiler) throws IOException, InterruptedException {
        Path library = folder.resolve("fault_injection.so").toAbsolutePath();
        Process process = start(new ProcessBuilder(compiler, "-std=c11", "-O2", "-Wall", "-Wextra", "-Werror",
                "-shared", "-fPIC", "-o", library.toString(), SOURCE.toString(), "-ldl").redirectErrorStream(true));
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        if (process.waitFor() != 0 || !Files.exists(library)) {
            throw new IOException("fault_injection.c cannot be built (packages gcc and libc6-dev): " + output);
        }
        return library;
    }

    private static Process start(ProcessBuilder compiler) throws IOException {
        try {
            return compiler.start();
        } catch (IOException missing) {
            throw new IOException(NO_COMPILER, missing);
        }
    }
}
