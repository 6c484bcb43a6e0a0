package clovermill;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The pages for engineers on call name classes, packages and log lines that are in the code. */
class DocumentedNamesTest {

    private static final Path SOURCES = Path.of("src/main/java/clovermill");
    /** A type in backticks, maybe behind its package and before a method. */
    private static final Pattern TYPE = Pattern.compile(
            "`(?:[a-z]+\\.)*([A-Z][A-Za-z]*[a-z][A-Za-z]*)(?:\\.[a-z]\\w*)?`");
    /** A package of two or more parts in backticks. */
    private static final Pattern PACKAGE = Pattern.compile("`([a-z]+(?:\\.[a-z]+)+)`");
    /** A row of the runbook: its second cell is the log line. */
    private static final Pattern ALERT = Pattern.compile("^\\| \\*\\*.*?\\| `([^`]+)`.*$", Pattern.MULTILINE);

    @ParameterizedTest
    @ValueSource(strings = {"docs/ARCHITECTURE.md", "docs/GLOSSARY.md"})
    void eachTypeThatAPageNamesExists(String page) throws IOException {
        Set<String> named = new TreeSet<>();
        Matcher types = TYPE.matcher(Files.readString(Path.of(page)));
        while (types.find()) {
            named.add(types.group(1));
        }
        assertThat(named).isNotEmpty().isSubsetOf(simpleNames());
    }

    @ParameterizedTest
    @ValueSource(strings = {"docs/ARCHITECTURE.md", "docs/GLOSSARY.md"})
    void eachPackageThatAPageNamesExists(String page) throws IOException {
        Matcher packages = PACKAGE.matcher(Files.readString(Path.of(page)));
        while (packages.find()) {
            assertThat(SOURCES.resolve(packages.group(1).replace('.', '/'))).isDirectory();
        }
    }

    @Test
    void eachLogLineOfTheRunbookIsWrittenByTheProgram() throws IOException {
        String code = sourcesOnOneLine();
        List<String> lines = ALERT.matcher(Files.readString(Path.of("docs/operate/RUNBOOK.md"))).results()
                .map(found -> found.group(1)).toList();
        assertThat(lines).hasSizeGreaterThanOrEqualTo(10);
        for (String line : lines) {
            for (String part : line.split("…")) {
                assertThat(code).as(line).contains(part.trim());
            }
        }
    }

    /** Each term of acceptance names the tests and scenarios that show it. */
    @Test
    void eachTestOfTheTermsOfAcceptanceExists() throws IOException {
        String page = Files.readString(Path.of("docs/design/race-conditions.md"));
        String terms = page.substring(page.indexOf("## Terms of acceptance"), page.indexOf("## No test"));
        List<String> named = Pattern.compile("`([A-Za-z][A-Za-z0-9.-]*)`").matcher(terms).results()
                .map(found -> found.group(1)).filter(name -> !name.endsWith(".md")).toList();
        assertThat(named).hasSizeGreaterThan(30);
        for (String name : named) {
            String[] parts = name.split("\\.");
            if (Character.isUpperCase(name.charAt(0))) {
                assertThat(testSource(parts[0])).as(name).contains(
                        parts.length > 1 ? "void " + parts[1] + "(" : parts[0]);
            } else {
                assertThat(Path.of("src/test/resources/scenarios", name + ".txt")).isRegularFile();
            }
        }
    }

    private static String testSource(String type) throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src/test/java"))) {
            Path file = files.filter(each -> each.endsWith(type + ".java")).findFirst().orElseThrow(
                    () -> new AssertionError("no test " + type));
            return Files.readString(file);
        }
    }

    private static Set<String> simpleNames() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            return files.map(file -> file.getFileName().toString()).filter(name -> name.endsWith(".java"))
                    .map(name -> name.replace(".java", "")).collect(Collectors.toSet());
        }
    }

    /** All string literals that are joined over lines stand whole. */
    private static String sourcesOnOneLine() throws IOException {
        StringBuilder all = new StringBuilder();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(each -> each.toString().endsWith(".java")).toList()) {
                all.append(Files.readString(file).replaceAll("\"\\s*\\+\\s*\"", "").replace("''", "'"));
            }
        }
        return all.toString();
    }
}
