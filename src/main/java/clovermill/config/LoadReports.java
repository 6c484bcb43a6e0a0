package clovermill.config;

import clovermill.routing.api.LoadReport;

/** Load reports as text, the same in the simulator's outcomes and in the answers of members. */
public final class LoadReports {

    private LoadReports() {
    }

    /**
     * Reads name:value pairs; names that the module does not know are passed over, what is not told is NaN. A value
     * that is no number ends in a {@link NumberFormatException}.
     */
    public static LoadReport read(String pairs, String separator) {
        double held = Double.NaN;
        double busy = Double.NaN;
        double linkUse = Double.NaN;
        for (String pair : pairs.split(separator)) {
            int cut = pair.indexOf(':');
            double value = Double.parseDouble(pair.substring(cut + 1));
            switch (cut < 0 ? "" : pair.substring(0, cut)) {
                case "concurrent" -> held = value;
                case "load_share" -> busy = value;
                case "x1" -> linkUse = value;
                default -> {}
            }
        }
        return new LoadReport(held, busy, linkUse);
    }
}
