package clovermill.controlplane.policystore.decide;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.controlplane.policystore.decide.StepSearch.Breakage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class StepSearchTest {

    @Test
    void whenNothingIsBrokenThenNoReachableStateMixesVersions() {
        StepSearch search = new StepSearch(2, 1, 1, 0, Breakage.NONE);
        assertThat(search.run()).isNull();
        System.out.println("step-search: states=" + search.states());
    }

    @ParameterizedTest
    @EnumSource(value = Breakage.class, mode = EnumSource.Mode.EXCLUDE, names = {"NONE",
        "BACK_TO_AN_EARLIER_STEP"}) // that takes two answers at once: LeaseHolderTest
    void whenARuleIsBrokenThenTheSearchFindsAViolation(Breakage broken) {
        StepSearch search = new StepSearch(2, 1, 1, 0, broken);
        assertThat(search.run()).isNotNull();
        System.out.println("step-search: " + broken + " states=" + search.states());
    }
}
