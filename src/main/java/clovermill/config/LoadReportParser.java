package clovermill.config;

import clovermill.routing.api.LoadReport;

/** Parses load reports, which have the same text form in the simulator's outcomes and in members' responses. */
public final class LoadReportParser {

    private LoadReportParser() {
    }

    /**
     * Parses name:value pairs; unknown names are ignored, and values that are not reported are NaN.
     *
     * @throws NumberFormatException if a value is not a number
     */
    public static LoadReport parse(String pairs, String separator) {
        double concurrency = Double.NaN;
        double utilization = Double.NaN;
        double linkUtilization = Double.NaN;
        for (String pair : pairs.split(separator)) {
            int colon = pair.indexOf(':');
            double value = Double.parseDouble(pair.substring(colon + 1));
            switch (colon < 0 ? "" : pair.substring(0, colon)) {
                case "concurrent" -> concurrency = value;
                case "load_share" -> utilization = value;
                case "x1" -> linkUtilization = value;
                default -> {}
            }
        }
        return new LoadReport(concurrency, utilization, linkUtilization);
    }
}
