package clovermill.controlplane.admin.decide;

/**
 * One call of an operator.
 *
 * @param method of HTTP, as it was sent
 * @param path of the request line, without a query
 * @param body empty where there is none
 */
public record AdminRequest(String method, String path, String body) {}
