package clovermill.prove.capacity;

import java.util.ArrayList;
import java.util.List;

/** A straight line through points by least squares. */
record LineFit(double intercept, double slope) {

    /** A measured point. */
    record Point(double x, double y) {}

    /** Returns the least-squares line through at least two points with different x. */
    static LineFit of(List<Point> points) {
        double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
        double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
        double squares = points.stream().mapToDouble(point -> (point.x - meanX) * (point.x - meanX)).sum();
        if (!(squares > 0)) {
            throw new IllegalArgumentException("cannot fit a line through " + points.size() + " points with equal x");
        }
        double products = points.stream().mapToDouble(point -> (point.x - meanX) * (point.y - meanY)).sum();
        double slope = products / squares;
        return new LineFit(meanY - slope * meanX, slope);
    }

    double at(double x) {
        return intercept + slope * x;
    }

    /** Returns the measured value minus the fitted one. */
    double residual(Point point) {
        return point.y - at(point.x);
    }

    /** Returns the error of predicting one point from all others, as a share of its measured value. */
    static double leftOutError(List<Point> points, int leftOut) {
        List<Point> others = new ArrayList<>(points);
        Point point = others.remove(leftOut);
        return (of(others).at(point.x) - point.y) / point.y;
    }
}
