package clovermill.admin.decide;

import clovermill.config.Json;

/** Decides how the calls of operators are answered, and has done what they ask for. */
public final class Desk {

    /** What can be asked of the director. */
    public interface Director {

        /** Whether this process can serve. */
        boolean ready();

        /**
         * Gives a cache nothing more until it is put back; once more changes nothing. False if no member has that id.
         */
        boolean takeOut(String id);

        /** Gives a cache work again, however often it was taken out. False if no member has that id. */
        boolean putBack(String id);
    }

    private final Director director;

    public Desk(Director director) {
        this.director = director;
    }

    /** The one answer to a call. */
    public Reply answer(Call call) {
        return switch (call.path()) {
            case "/ready" -> !call.method().equals("GET") ? wrongMethod("GET")
                    : director.ready() ? new Reply(200, "ready") : new Reply(503, "this process cannot serve");
            case "/caches/disable" -> !call.method().equals("PUT") ? wrongMethod("PUT") : change(call, true);
            case "/caches/enable" -> !call.method().equals("PUT") ? wrongMethod("PUT") : change(call, false);
            default -> new Reply(404, "no such call");
        };
    }

    private static Reply wrongMethod(String allow) {
        return new Reply(405, "this call is made with " + allow, allow);
    }

    private Reply change(Call call, boolean out) {
        String id;
        try {
            id = Json.string(Json.object(Json.parse(call.body())), "id");
        } catch (Json.Malformed malformed) {
            return new Reply(400, "body: " + malformed.getMessage());
        }
        boolean known = out ? director.takeOut(id) : director.putBack(id);
        return !known ? new Reply(404, "id: no cache is known by that id")
                : new Reply(200, out ? "nothing more goes to it" : "it may serve again");
    }
}
