package clovermill.runtime.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
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

    /** One line when reservations begin to fail and one when half is free again, however many fail in between. */
    @Test
    void logsOnceThatItIsUsedUpAndOnceThatHalfOfItIsFree() {
        List<String> lines = new ArrayList<>();
        Handler handler = new Handler() {
            @Override
            public void publish(LogRecord line) {
                lines.add(new SimpleFormatter().formatMessage(line));
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
        Logger logger = Logger.getLogger(Budget.class.getName());
        logger.addHandler(handler);
        try {
            for (int i = 0; i < 3; i++) {
                budget.tryReserve(90);
            }
            budget.release(30);
            budget.tryReserve(90);
            budget.release(10);
            budget.release(50);
        } finally {
            logger.removeHandler(handler);
        }
        assertThat(lines).containsExactly(
                "the memory for bodies is used up, connections wait for it: 90 of 100 bytes are reserved",
                "half of the memory for bodies is free again");
    }
}
