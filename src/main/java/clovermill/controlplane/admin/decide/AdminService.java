package clovermill.controlplane.admin.decide;

import clovermill.config.Json;
import java.util.Optional;
import java.util.function.Consumer;

/** Handles admin requests by calling the director's operations. On the loop's thread. */
public final class AdminService {

    /** The operations of a director. */
    public interface Director {

        /** Returns whether this process can serve clients. */
        boolean ready();

        /** Stops sending requests to a cache until it is enabled; does nothing if it is already disabled. */
        OutageCallResult disable(String id);

        /** Resumes sending requests to a cache, however often it was disabled. */
        OutageCallResult enable(String id);
    }

    /** The operations on the replicated policy of the fleet; responses may be asynchronous. */
    public interface Policies {

        /** Returns the policy in force at this director. */
        AdminResponse show();

        /** Proposes a change; {@code body} contains the new policy and the version that it follows. */
        void propose(String body, Consumer<AdminResponse> reply);

        /** Cancels the change that is in progress. */
        void withdraw(Consumer<AdminResponse> reply);
    }

    private final Director director;
    private final Optional<Policies> policies;

    /**
     * Creates a service.
     *
     * @param policies empty if this director does not take part in the fleet's policy
     */
    public AdminService(Director director, Optional<Policies> policies) {
        this.director = director;
        this.policies = policies;
    }

    /** Handles a request and passes exactly one response to {@code reply}, possibly asynchronously. */
    public void handle(AdminRequest request, Consumer<AdminResponse> reply) {
        if (policies.isPresent() && isPolicyPath(request.path())) {
            handlePolicy(request, policies.get(), reply);
        } else {
            reply.accept(handle(request));
        }
    }

    private static boolean isPolicyPath(String path) {
        return path.equals("/policy") || path.equals("/policy/pending");
    }

    private static void handlePolicy(AdminRequest request, Policies policies, Consumer<AdminResponse> reply) {
        switch (request.method() + " " + request.path()) {
            case "PUT /policy" -> policies.propose(request.body(), reply);
            case "DELETE /policy/pending" -> policies.withdraw(reply);
            case "GET /policy" -> reply.accept(policies.show());
            default -> reply.accept(AdminResponse.methodNotAllowed(
                    request.path().equals("/policy") ? "GET, PUT" : "DELETE"));
        }
    }

    private AdminResponse handle(AdminRequest request) {
        return switch (request.path()) {
            case "/ready" -> request.method().equals("GET") ? readiness() : AdminResponse.methodNotAllowed("GET");
            case "/caches/disable" -> request.method().equals("PUT") ? setDisabled(request, true)
                    : AdminResponse.methodNotAllowed("PUT");
            case "/caches/enable" -> request.method().equals("PUT") ? setDisabled(request, false)
                    : AdminResponse.methodNotAllowed("PUT");
            default -> new AdminResponse(404, "no such call");
        };
    }

    private AdminResponse readiness() {
        return director.ready() ? new AdminResponse(200, "ready")
                : new AdminResponse(503, "this process cannot serve");
    }

    private AdminResponse setDisabled(AdminRequest request, boolean disabled) {
        String id;
        try {
            id = Json.string(Json.object(Json.parse(request.body())), "id");
        } catch (Json.Malformed malformed) {
            return new AdminResponse(400, "body: " + malformed.getMessage());
        }
        return switch (disabled ? director.disable(id) : director.enable(id)) {
            case DONE -> new AdminResponse(200, disabled ? "nothing more goes to it" : "it may serve again");
            case UNKNOWN_CACHE -> new AdminResponse(404, "id: no cache is known by that id");
            case NOT_RECORDED -> new AdminResponse(503, disabled
                    ? "nothing more goes to it for now, but the shared folder cannot be written: repeat the call"
                    : "the shared folder cannot be written, so it stays out: repeat the call");
        };
    }
}
