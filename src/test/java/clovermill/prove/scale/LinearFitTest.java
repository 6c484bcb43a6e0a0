package clovermill.prove.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

class LinearFitTest {

    private static final double[] SIZES = {60, 180, 540};

    @Property
    void fitsCollinearPointsWithoutResiduals(@ForAll @DoubleRange(min = -100, max = 100) double intercept,
            @ForAll @DoubleRange(min = -10, max = 10) double slope) {
        double[] values = new double[SIZES.length];
        for (int i = 0; i < values.length; i++) {
            values[i] = intercept + slope * SIZES[i];
        }
        LinearFit fit = LinearFit.of(SIZES, values);
        assertThat(fit.intercept()).isCloseTo(intercept, within(1e-6));
        assertThat(fit.slope()).isCloseTo(slope, within(1e-8));
        assertThat(fit.maxResidual()).isLessThan(1e-6);
    }

    @Test
    void residualsOfScatteredPointsSumToZero() {
        LinearFit fit = LinearFit.of(new double[] {0, 1, 2}, new double[] {0, 4, 2});
        assertThat(fit.slope()).isCloseTo(1, within(1e-12));
        assertThat(fit.intercept()).isCloseTo(1, within(1e-12));
        assertThat(fit.residuals()).containsExactly(new double[] {-1, 2, -1}, within(1e-12));
        assertThat(fit.maxResidual()).isCloseTo(2, within(1e-12));
    }

    @Test
    void errorIsShareOfMeasuredValue() {
        LinearFit fit = LinearFit.of(new double[] {60, 180}, new double[] {6, 18});
        assertThat(fit.error(540, 54)).isCloseTo(0, within(1e-12));
        assertThat(fit.error(540, 108)).isCloseTo(0.5, within(1e-12));
    }

    @Test
    void rejectsPointsWithEqualX() {
        assertThatThrownBy(() -> LinearFit.of(new double[] {60, 60}, new double[] {1, 2}))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
