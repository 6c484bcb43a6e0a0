package clovermill.controlplane.policystore.decide;

import static org.assertj.core.api.Assertions.assertThat;

import clovermill.controlplane.policystore.decide.StepSearch.Mutation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class StepSearchTest {

    @Test
    void noReachableStateViolatesTheInvariant() {
        StepSearch search = new StepSearch(2, 1, 1, 0, Mutation.NONE);
        assertThat(search.run()).isNull();
        System.out.println("step-search: states=" + search.states());
    }

    @ParameterizedTest
    @EnumSource(value = Mutation.class, mode = EnumSource.Mode.EXCLUDE, names = {"NONE",
        "EARLIER_STEP_ACCEPTED"}) // needs two messages in flight; covered by LeaseHolderTest
    void findsAViolationForEachMutation(Mutation mutation) {
        StepSearch search = new StepSearch(2, 1, 1, 0, mutation);
        assertThat(search.run()).isNotNull();
        System.out.println("step-search: " + mutation + " states=" + search.states());
    }
}
