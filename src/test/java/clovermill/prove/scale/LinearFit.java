package clovermill.prove.scale;

/**
 * A straight line through points by least squares.
 *
 * @param residuals measured minus fitted value of each point
 */
record LinearFit(double intercept, double slope, double[] residuals) {

    /** Returns the least-squares line through at least two points with different x. */
    static LinearFit of(double[] x, double[] y) {
        double meanX = mean(x);
        double meanY = mean(y);
        double covariance = 0;
        double variance = 0;
        for (int i = 0; i < x.length; i++) {
            covariance += (x[i] - meanX) * (y[i] - meanY);
            variance += (x[i] - meanX) * (x[i] - meanX);
        }
        if (x.length != y.length || !(variance > 0)) {
            throw new IllegalArgumentException("cannot fit a line through " + x.length + " points with equal x");
        }
        double slope = covariance / variance;
        double intercept = meanY - slope * meanX;
        double[] residuals = new double[x.length];
        for (int i = 0; i < x.length; i++) {
            residuals[i] = y[i] - (intercept + slope * x[i]);
        }
        return new LinearFit(intercept, slope, residuals);
    }

    double at(double x) {
        return intercept + slope * x;
    }

    /** Returns the largest absolute residual. */
    double maxResidual() {
        double max = 0;
        for (double each : residuals) {
            max = Math.max(max, Math.abs(each));
        }
        return max;
    }

    /** Returns the absolute error of a prediction as a share of the measured value. */
    double error(double x, double measured) {
        return measured == 0 ? Math.abs(at(x)) : Math.abs(at(x) - measured) / Math.abs(measured);
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double each : values) {
            sum += each;
        }
        return sum / values.length;
    }
}
