package clovermill.controlplane.admin.decide;

import java.util.Optional;

/**
 * The response to an admin request.
 *
 * @param status the HTTP status (RFC 9110, 15); 2xx if the request succeeded
 * @param body a message for the operator, or a JSON text
 * @param allowedMethods the value of the header {@code Allow}, present only with status 405
 */
public record AdminResponse(int status, String body, Optional<String> allowedMethods) {

    /** Creates a response without {@code Allow}. */
    public AdminResponse(int status, String body) {
        this(status, body, Optional.empty());
    }

    /** Returns a response with status 405, for a path that supports only other methods. */
    static AdminResponse methodNotAllowed(String allowedMethods) {
        return new AdminResponse(405, "this call is made with " + allowedMethods, Optional.of(allowedMethods));
    }
}
