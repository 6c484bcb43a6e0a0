package clovermill.simulation.adapter;

import clovermill.config.Json;
import clovermill.config.SettingsReader;
import clovermill.routing.RequestRouter;
import clovermill.routing.api.CacheRouter;
import clovermill.routing.api.Event;
import clovermill.routing.api.Settings;
import java.util.HashMap;
import java.util.Map;

/** Manages the routers by instance number: starts and stops them, and passes each event to its instance. */
final class RouterHost {

    private final EventReader events;
    private final ActionWriter actions;
    private final Map<Integer, CacheRouter> routers = new HashMap<>();

    RouterHost(EventReader events, ActionWriter actions) {
        this.events = events;
        this.actions = actions;
    }

    /**
     * Handles a message for an instance.
     *
     * @param nowUs the time of the batch
     * @param message the name of the message
     * @param fields the rest of the line, which begins with the instance number
     */
    void handle(long nowUs, String message, Fields fields) {
        int instance = fields.int32();
        switch (message) {
            case "HELLO" -> start(instance, fields);
            case "SHUTDOWN" -> {
                router(instance, fields);
                routers.remove(instance);
            }
            default -> deliver(nowUs, instance, router(instance, fields), events.read(message, fields));
        }
    }

    private void start(int instance, Fields fields) {
        long seed = fields.int64();
        routers.put(instance, new RequestRouter(settings(fields), seed));
    }

    /** Parses the rest of a line as settings of the form {@code name=value}. */
    private static Settings settings(Fields fields) {
        Map<String, String> values = new HashMap<>();
        while (fields.hasNext()) {
            String pair = fields.text();
            int separator = pair.indexOf('=');
            if (separator < 1) {
                throw fields.malformed("invalid setting: " + pair);
            }
            values.put(pair.substring(0, separator), pair.substring(separator + 1));
        }
        try {
            return SettingsReader.read(values);
        } catch (Json.Malformed malformed) {
            throw fields.malformed(malformed.getMessage());
        }
    }

    private CacheRouter router(int instance, Fields fields) {
        CacheRouter router = routers.get(instance);
        if (router == null) {
            throw fields.malformed("unknown instance " + instance);
        }
        return router;
    }

    /** Passes an event to a router; if the router fails, reports that in the reply and continues with the batch. */
    private void deliver(long nowUs, int instance, CacheRouter router, Event event) {
        try {
            router.handle(nowUs, event, action -> actions.write(instance, action));
        } catch (RuntimeException failure) {
            actions.writeFailure(instance, failure);
        }
    }
}
