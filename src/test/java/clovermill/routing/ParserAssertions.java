package clovermill.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;

/** Feeds parsers their input cut at every point, and junk. */
public final class ParserAssertions {

    /** A parser that may refuse its input. */
    public interface Parser {
        /** Takes the next bytes; throws where they cannot be read. */
        void parse(ByteBuffer data) throws Exception;
    }

    private ParserAssertions() {}

    /** Whatever the cut, the parser must tell its listener the same. */
    public static void assertSameForEverySplit(byte[] input, List<String> expected,
            Function<Consumer<String>, Parser> parsers)
            throws Exception {
        for (int cut = 0; cut <= input.length; cut++) {
            List<String> told = new ArrayList<>();
            Parser parser = parsers.apply(told::add);
            parser.parse(ByteBuffer.wrap(input, 0, cut).slice());
            parser.parse(ByteBuffer.wrap(input, cut, input.length - cut).slice());
            assertThat(told).as("cut at %d", cut).isEqualTo(expected);
        }
        List<String> told = new ArrayList<>();
        Parser parser = parsers.apply(told::add);
        for (byte next : input) {
            parser.parse(ByteBuffer.wrap(new byte[] {next}));
        }
        assertThat(told).as("byte by byte").isEqualTo(expected);
    }

    /** Changed bytes may be refused by {@code refusal} or understood, but never cause another fault. */
    public static void assertFailsOnlyWith(byte[] input, Class<? extends Exception> refusal,
            Function<Consumer<String>, Parser> parsers) {
        Random random = new Random(7);
        int refused = 0;
        for (int i = 0; i < 2000; i++) {
            byte[] changed = Arrays.copyOf(input, random.nextInt(input.length) + 1);
            for (int j = random.nextInt(4); j >= 0; j--) {
                changed[random.nextInt(changed.length)] = (byte) random.nextInt(256);
            }
            try {
                parsers.apply(told -> {}).parse(ByteBuffer.wrap(changed));
            } catch (Exception failure) {
                assertThat(failure).isInstanceOf(refusal);
                refused++;
            }
        }
        assertThat(refused).isPositive();
    }
}
