package clovermill.routing.api;

/** A load report; a value that the member does not report is NaN. */
public record LoadReport(double held, double busy, double linkUse) {}
