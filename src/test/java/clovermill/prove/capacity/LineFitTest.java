package clovermill.prove.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import clovermill.prove.capacity.LineFit.Point;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the line fit from which figures of the capacity page are computed. */
class LineFitTest {

    private static final List<Point> LINE = List.of(new Point(0, 3), new Point(10, 5), new Point(30, 9));

    @Test
    void fitsCollinearPointsExactly() {
        LineFit fit = LineFit.of(LINE);
        assertThat(fit.intercept()).isCloseTo(3, within(1e-9));
        assertThat(fit.slope()).isCloseTo(0.2, within(1e-9));
        assertThat(LINE).allSatisfy(point -> assertThat(fit.residual(point)).isCloseTo(0, within(1e-9)));
    }

    @Test
    void predictsLeftOutPointFromOtherPointsOnly() {
        assertThat(LineFit.leftOutError(LINE, 2)).isCloseTo(0, within(1e-9));
        List<Point> bent = List.of(new Point(0, 3), new Point(10, 5), new Point(30, 18));
        assertThat(LineFit.leftOutError(bent, 2)).isCloseTo(-0.5, within(1e-9));
    }

    @Test
    void fitsScatteredPointsByLeastSquares() {
        LineFit fit = LineFit.of(List.of(new Point(1, 1), new Point(2, 3), new Point(3, 2)));
        assertThat(fit.slope()).isCloseTo(0.5, within(1e-9));
        assertThat(fit.intercept()).isCloseTo(1, within(1e-9));
    }

    @Test
    void rejectsPointsWithEqualX() {
        assertThatThrownBy(() -> LineFit.of(List.of(new Point(1, 1), new Point(1, 2))))
                .hasMessageContaining("cannot fit a line");
    }
}
