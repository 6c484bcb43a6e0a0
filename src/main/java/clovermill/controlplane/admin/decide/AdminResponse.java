package clovermill.controlplane.admin.decide;

/**
 * The answer to a call: a status of HTTP, 2xx for yes, and a reason in plain words. {@code allow} names the methods
 * that the path takes where the call came with another one, else it is null.
 */
public record AdminResponse(int status, String reason, String allow) {

    /** An answer that names no methods. */
    public AdminResponse(int status, String reason) {
        this(status, reason, null);
    }
}
