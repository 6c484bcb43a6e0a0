package clovermill.runtime.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class BudgetTest {

    private final Budget budget = new Budget(100);

    @Test
    void givenAFullBudgetThenItRejectsReservationsAndCallsWaitersAfterARelease() {
        List<String> called = new ArrayList<>();
        assertThat(budget.tryReserve(80)).isTrue();
        assertThat(budget.tryReserve(30)).isFalse();
        budget.await(() -> called.add("first"));
        budget.await(() -> called.add("second"));
        Body body = new Body(new byte[80], budget);
        body.close();
        body.close();
        assertThat(budget.used()).isZero();
        assertThat(called).containsExactly("first", "second");
    }

    /** A body larger than the budget is still served, alone. */
    @Test
    void givenAnEmptyBudgetThenABodyOfAnySizeIsGranted() {
        assertThat(budget.tryReserve(500)).isTrue();
        assertThat(budget.tryReserve(1)).isFalse();
    }
}
