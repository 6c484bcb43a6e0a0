package clovermill.controlplane.reload.decide;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.routing.api.Effect;
import clovermill.routing.api.KeyScope;
import clovermill.routing.api.Permissions;
import clovermill.routing.api.RequestClass;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RequestClassRegistryTest {

    private static final Permissions PERMISSIONS = new Permissions(true, true, true, true, true, false, 99, 1000, 0);

    private static RequestClass with(Effect effect, long deadlineUs, long windowUs, long freshUs) {
        return new RequestClass(100, 0, deadlineUs, 1, 0, effect, KeyScope.ALL, windowUs, false, false, false, freshUs,
                0, 1);
    }

    /** A name never gets another number, and after the overlap the last terms are in force. */
    @Property(tries = 200)
    void aNameKeepsItsNumber(
            @ForAll @Size(max = 12) List<@Size(min = 1, max = 5) List<@IntRange(max = 7) Integer>> changes) {
        RequestClassRegistry classes =
                new RequestClassRegistry(List.of("c0"), List.of(with(Effect.IDEMPOTENT, 1000, 0, 0)), 8);
        List<String> numbers = new ArrayList<>(List.of("c0"));
        for (int i = 0; i < changes.size(); i++) {
            List<String> names = changes.get(i).stream().distinct().map(n -> "c" + n).toList();
            long deadlineUs = 1000L + i;
            classes.beginChange(names, names.stream().map(n -> with(Effect.IDEMPOTENT, deadlineUs, 0, 0)).toList(),
                    1 + i);
            names.stream().filter(n -> !numbers.contains(n)).forEach(numbers::add);
            assertThat(classes.acceptedNames()).as("removed ones too, during the overlap").isEqualTo(numbers);
            assertThat(classes.requestClasses()).hasSameSizeAs(numbers);
            if (i % 2 == 0) {
                classes.completeChange();
                for (int n = 0; n < numbers.size(); n++) {
                    boolean wanted = names.contains(numbers.get(n));
                    assertThat(classes.acceptedNames().get(n)).isEqualTo(wanted ? numbers.get(n) : null);
                    assertThat(!wanted || classes.requestClasses().get(n).deadlineUs() == deadlineUs).isTrue();
                }
                assertThat(classes.withMaxAttempts(PERMISSIONS).maxAttempts()).isEqualTo(1 + i);
            }
        }
    }

    @Test
    void bothTheOldAndTheNewTermsBindDuringTheOverlap() {
        RequestClassRegistry classes =
                new RequestClassRegistry(List.of("a", "b"), List.of(with(Effect.DEDUPLICATED, 3000, 500, 0),
                        with(Effect.IDEMPOTENT, 1000, 0, 20)), 2);
        classes.beginChange(List.of("b", "a"), List.of(with(Effect.AT_MOST_ONCE, 2000, 0, 0),
                with(Effect.IDEMPOTENT, 1000, 900, 30)), 8);
        assertThat(classes.requestClasses().get(0)).isEqualTo(with(Effect.DEDUPLICATED, 3000, 500, 30));
        assertThat(classes.requestClasses().get(1)).isEqualTo(with(Effect.AT_MOST_ONCE, 2000, Long.MAX_VALUE, 20));
        assertThat(classes.withMaxAttempts(PERMISSIONS).maxAttempts()).isEqualTo(2);
        classes.completeChange();
        assertThat(classes.requestClasses()).containsExactly(with(Effect.IDEMPOTENT, 1000, 900, 30),
                with(Effect.AT_MOST_ONCE, 2000, 0, 0));
        assertThat(classes.withMaxAttempts(PERMISSIONS).maxAttempts()).isEqualTo(8);
    }

    /** The platform's kill follows it. */
    @Test
    void theLongestDeadlineIsTheShorterOfBothDuringTheOverlapAndThatOfTheNewTermsAfterwards() {
        RequestClassRegistry classes =
                new RequestClassRegistry(List.of("a", "b"), List.of(with(Effect.IDEMPOTENT, 3000, 0, 0),
                        with(Effect.IDEMPOTENT, 1000, 0, 0)), 2);
        assertThat(classes.longestDeadlineUs()).isEqualTo(3000);
        classes.beginChange(List.of("b"), List.of(with(Effect.IDEMPOTENT, 2000, 0, 0)), 2);
        assertThat(classes.longestDeadlineUs()).isEqualTo(2000);
        classes.beginChange(List.of("b"), List.of(with(Effect.IDEMPOTENT, 5000, 0, 0)), 2);
        assertThat(classes.longestDeadlineUs()).as("clients may still follow the terms before").isEqualTo(2000);
        classes.completeChange();
        assertThat(classes.longestDeadlineUs()).as("the removed class does not count").isEqualTo(5000);
    }

    @Test
    void moreNamesThanNumbersAreNotAccepted() {
        List<String> many = new ArrayList<>();
        for (int i = 0; i < 255; i++) {
            many.add("c" + i);
        }
        RequestClassRegistry classes =
                new RequestClassRegistry(List.of("c0"), List.of(with(Effect.IDEMPOTENT, 1, 0, 0)), 1);
        assertThat(classes.hasNumbersFor(many)).isTrue();
        many.add("one more");
        assertThat(classes.hasNumbersFor(many)).isFalse();
    }
}
