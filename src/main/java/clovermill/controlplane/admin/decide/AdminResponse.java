package clovermill.controlplane.admin.decide;

import java.util.Optional;

/**
 * The response to an admin call.
 *
 * @param status of HTTP (RFC 9110, 15); 2xx if the call was carried out
 * @param body the reason in plain words, or a JSON text
 * @param allowedMethods the value of the header {@code Allow}, with status 405 only
 */
public record AdminResponse(int status, String body, Optional<String> allowedMethods) {

    /** A response without {@code Allow}. */
    public AdminResponse(int status, String body) {
        this(status, body, Optional.empty());
    }

    /** Status 405, for a path that is called with other methods. */
    static AdminResponse methodNotAllowed(String allowedMethods) {
        return new AdminResponse(405, "this call is made with " + allowedMethods, Optional.of(allowedMethods));
    }
}
