package clovermill.controlplane.admin.decide;

/** One call of an operator: the method and path of its request line, without any query, and its body. */
public record AdminRequest(String method, String path, String body) {}
