package clovermill.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The routing code has short files and short methods, and the deploy file lists each of its source files. */
class ModuleSizeTest {

    private static final int MAX_FILE_LINES = 200;
    private static final int MAX_METHOD_LINES = 40;
    private static final String METHOD_INDENT = "    ";

    private static List<Path> sources(String folder) throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/main/java/clovermill").resolve(folder))) {
            return files.filter(file -> file.toString().endsWith(".java")).sorted().toList();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"routing", "routing/stats", "routing/load"})
    void filesAndMethodsAreShort(String folder) throws IOException {
        List<Path> files = sources(folder);
        assertThat(files).isNotEmpty();
        for (Path file : files) {
            List<String> lines = Files.readAllLines(file).stream().filter(line -> !line.isBlank()).toList();
            assertThat(lines).as(file.toString()).hasSizeLessThanOrEqualTo(MAX_FILE_LINES);
            assertThat(memberBodies(lines)).as(file.toString()).allSatisfy(
                    body -> assertThat(body).hasSizeLessThanOrEqualTo(MAX_METHOD_LINES));
        }
    }

    /** Returns methods and nested types, as laid out by the formatter, from the first line to the closing brace. */
    private static List<List<String>> memberBodies(List<String> lines) {
        List<List<String>> bodies = new ArrayList<>();
        int start = -1;
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            boolean member = line.startsWith(METHOD_INDENT) && !line.startsWith(METHOD_INDENT + " ");
            if (member && line.equals(METHOD_INDENT + "}") && start >= 0) {
                bodies.add(lines.subList(start, i + 1));
                start = -1;
            } else if (member && !line.endsWith(";") && !line.contains("*") && start < 0) {
                start = i;
            } else if (member && line.endsWith("{}")) {
                start = -1;
            }
        }
        return bodies;
    }

    @Test
    void deployFileListsExactlyTheRoutingSources() throws IOException {
        String policy = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("policy = ")).findFirst().orElseThrow();
        assertThat(policy).isEqualTo(sources("routing").stream().map(file -> '"' + file.toString() + '"').toList()
                .toString().replaceFirst("^", "policy = "));
    }
}
