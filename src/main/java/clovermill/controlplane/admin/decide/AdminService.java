package clovermill.controlplane.admin.decide;

import clovermill.config.Json;
import java.util.function.Consumer;

/** Decides how the calls of operators are answered, and has done what they ask for. */
public final class AdminService {

    /** What can be asked of the director. */
    public interface Director {

        /** Whether this process can serve. */
        boolean ready();

        /** Gives a cache nothing more until it is put back; once more changes nothing. */
        OutageCallResult takeOut(String id);

        /** Gives a cache work again, however often it was taken out. */
        OutageCallResult putBack(String id);
    }

    /** What can be asked about the one policy of the fleet; answers may come later. */
    public interface Policies {

        /** What holds here. */
        AdminResponse show();

        /** A change. */
        void put(String body, Consumer<AdminResponse> reply);

        /** The change that is under way is to be taken back. */
        void drop(Consumer<AdminResponse> reply);
    }

    private final Director director;
    private final Policies policies;

    /** {@code policies} is null where this director takes no part in a policy. */
    public AdminService(Director director, Policies policies) {
        this.director = director;
        this.policies = policies;
    }

    /** The one answer to a call goes to {@code reply}, maybe later. */
    public void answer(AdminRequest call, Consumer<AdminResponse> reply) {
        switch (policies == null ? "" : call.method() + " " + call.path()) {
            case "PUT /policy" -> policies.put(call.body(), reply);
            case "DELETE /policy/pending" -> policies.drop(reply);
            case "GET /policy" -> reply.accept(policies.show());
            default -> reply.accept(answer(call));
        }
    }

    private AdminResponse answer(AdminRequest call) {
        return switch (policies == null && call.path().startsWith("/policy") ? "" : call.path()) {
            case "/policy" -> wrongMethod("GET, PUT");
            case "/policy/pending" -> wrongMethod("DELETE");
            case "/ready" -> !call.method().equals("GET") ? wrongMethod("GET")
                    : director.ready() ? new AdminResponse(200, "ready")
                    : new AdminResponse(503, "this process cannot serve");
            case "/caches/disable" -> !call.method().equals("PUT") ? wrongMethod("PUT") : change(call, true);
            case "/caches/enable" -> !call.method().equals("PUT") ? wrongMethod("PUT") : change(call, false);
            default -> new AdminResponse(404, "no such call");
        };
    }

    private static AdminResponse wrongMethod(String allow) {
        return new AdminResponse(405, "this call is made with " + allow, allow);
    }

    private AdminResponse change(AdminRequest call, boolean out) {
        String id;
        try {
            id = Json.string(Json.object(Json.parse(call.body())), "id");
        } catch (Json.Malformed malformed) {
            return new AdminResponse(400, "body: " + malformed.getMessage());
        }
        return switch (out ? director.takeOut(id) : director.putBack(id)) {
            case DONE -> new AdminResponse(200, out ? "nothing more goes to it" : "it may serve again");
            case UNKNOWN_CACHE -> new AdminResponse(404, "id: no cache is known by that id");
            case NOT_RECORDED -> new AdminResponse(503, out
                    ? "nothing more goes to it for now, but the shared folder cannot be written: repeat the call"
                    : "the shared folder cannot be written, so it stays out: repeat the call");
        };
    }
}
