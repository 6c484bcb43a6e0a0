package clovermill.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;

/** Assertions that feed parsers input split at every point, and corrupted input. */
public final class ParserAssertions {

    /** A parser that may reject its input. */
    public interface Parser {
        /** Parses the next bytes; throws an exception if they are invalid. */
        void parse(ByteBuffer data) throws Exception;
    }

    private ParserAssertions() {}

    /** Asserts that the parser reports the same to its listener however the input is split. */
    public static void assertSameForEverySplit(byte[] input, List<String> expected,
            Function<Consumer<String>, Parser> parsers)
            throws Exception {
        for (int split = 0; split <= input.length; split++) {
            List<String> reported = new ArrayList<>();
            Parser parser = parsers.apply(reported::add);
            parser.parse(ByteBuffer.wrap(input, 0, split).slice());
            parser.parse(ByteBuffer.wrap(input, split, input.length - split).slice());
            assertThat(reported).as("split at %d", split).isEqualTo(expected);
        }
        List<String> reported = new ArrayList<>();
        Parser parser = parsers.apply(reported::add);
        for (byte next : input) {
            parser.parse(ByteBuffer.wrap(new byte[] {next}));
        }
        assertThat(reported).as("byte by byte").isEqualTo(expected);
    }

    /** Asserts that corrupted input is either parsed or rejected with {@code rejection}, never with another error. */
    public static void assertFailsOnlyWith(byte[] input, Class<? extends Exception> rejection,
            Function<Consumer<String>, Parser> parsers) {
        Random random = new Random(7);
        int rejected = 0;
        for (int i = 0; i < 2000; i++) {
            byte[] changed = Arrays.copyOf(input, random.nextInt(input.length) + 1);
            for (int j = random.nextInt(4); j >= 0; j--) {
                changed[random.nextInt(changed.length)] = (byte) random.nextInt(256);
            }
            try {
                parsers.apply(reported -> {}).parse(ByteBuffer.wrap(changed));
            } catch (Exception failure) {
                assertThat(failure).isInstanceOf(rejection);
                rejected++;
            }
        }
        assertThat(rejected).isPositive();
    }
}
