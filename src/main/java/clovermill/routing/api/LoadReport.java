package clovermill.routing.api;

/**
 * The load that a member reports; a value that it does not report is NaN.
 *
 * @param concurrency the number of requests in progress
 * @param utilization the load as a share of the capacity
 * @param linkUtilization the utilization of its location's inbound link
 */
public record LoadReport(double concurrency, double utilization, double linkUtilization) {}
