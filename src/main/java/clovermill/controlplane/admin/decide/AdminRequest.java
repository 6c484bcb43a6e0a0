package clovermill.controlplane.admin.decide;

/**
 * An operator's request.
 *
 * @param method the HTTP method, as received
 * @param path the path of the request line, without the query
 * @param body the body, empty if there is none
 */
public record AdminRequest(String method, String path, String body) {}
