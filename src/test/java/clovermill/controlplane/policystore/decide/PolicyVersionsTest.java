package clovermill.controlplane.policystore.decide;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PolicyVersionsTest {

    private final PolicyVersions versions = new PolicyVersions();
    private final PolicyDocument text = PolicyDocument.of("x".repeat(2000));

    private void addPart(int number) {
        versions.addPart(text.digest(), number, text.parts().get(number));
    }

    @Test
    void assemblesATextFromPartsInAnyOrder() {
        assertThat(versions.missingParts(text.digest(), 3, 2)).containsExactly(0, 1);
        addPart(2);
        addPart(0);
        assertThat(versions.find(text.digest())).isEmpty();
        assertThat(versions.missingParts(text.digest(), 3, 2)).containsExactly(1);
        addPart(1);
        assertThat(versions.find(text.digest())).contains(text);
        versions.retain(List.of());
        assertThat(versions.find(text.digest())).isEmpty();
    }

    @Test
    void discardsPartsThatDoNotMatchTheDigest() {
        versions.missingParts(text.digest(), 1, 1);
        versions.addPart(text.digest(), 0, "forged");
        assertThat(versions.find(text.digest())).isEmpty();
        assertThat(versions.missingParts(text.digest(), 1, 1)).containsExactly(0);
    }

    @Test
    void dropsTheOldestOfTooManyIncompleteTexts() {
        versions.missingParts(text.digest(), 3, 3);
        addPart(0);
        for (int i = 0; i < PolicyVersions.MAX_INCOMPLETE; i++) {
            versions.missingParts("other" + i, 1, 1);
        }
        addPart(1);
        addPart(2);
        assertThat(versions.find(text.digest())).isEmpty();
        assertThat(versions.missingParts(text.digest(), 3, 3)).containsExactly(0, 1, 2);
    }
}
