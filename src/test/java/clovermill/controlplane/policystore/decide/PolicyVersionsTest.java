package clovermill.controlplane.policystore.decide;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PolicyVersionsTest {

    private final PolicyVersions library = new PolicyVersions();
    private final PolicyDocument text = PolicyDocument.of("x".repeat(2000));

    private void part(int number) {
        library.part(text.digest(), number, text.parts().get(number));
    }

    @Test
    void aTextIsThereWhenAllItsPartsAreInWhateverOrder() {
        assertThat(library.wanted(text.digest(), 3, 2)).containsExactly(0, 1);
        part(2);
        part(0);
        assertThat(library.get(text.digest())).isNull();
        assertThat(library.wanted(text.digest(), 3, 2)).containsExactly(1);
        part(1);
        assertThat(library.get(text.digest())).isEqualTo(text);
        library.keep(List.of());
        assertThat(library.get(text.digest())).isNull();
    }

    @Test
    void partsThatMakeAnotherTextAreNone() {
        library.wanted(text.digest(), 1, 1);
        library.part(text.digest(), 0, "forged");
        assertThat(library.get(text.digest())).isNull();
        assertThat(library.wanted(text.digest(), 1, 1)).containsExactly(0);
    }

    @Test
    void textsThatNobodyCompletesDoNotGather() {
        library.wanted(text.digest(), 3, 3);
        part(0);
        for (int i = 0; i < PolicyVersions.MOST_INCOMPLETE; i++) {
            library.wanted("other" + i, 1, 1);
        }
        part(1);
        part(2);
        assertThat(library.get(text.digest())).isNull();
        assertThat(library.wanted(text.digest(), 3, 3)).containsExactly(0, 1, 2);
    }
}
