package clovermill.simulation.adapter;

import clovermill.config.Json;
import clovermill.config.SettingsReader;
import clovermill.routing.RequestRouter;
import clovermill.routing.api.CacheRouter;
import clovermill.routing.api.Event;
import clovermill.routing.api.Settings;
import java.util.HashMap;
import java.util.Map;

/** The routers by instance number: starts and stops them, and passes each event to the instance that it names. */
final class RouterHost {

    private final EventReader events;
    private final ActionWriter actions;
    private final Map<Integer, CacheRouter> routers = new HashMap<>();

    RouterHost(EventReader events, ActionWriter actions) {
        this.events = events;
        this.actions = actions;
    }

    /**
     * Handles a message to an instance.
     *
     * @param nowUs the batch's time
     * @param message the message's name
     * @param fields the line after it, the instance's number first
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
        long seed = fields.integer();
        routers.put(instance, new RequestRouter(settings(fields), seed));
    }

    /** The rest of a line as settings, {@code name=value} each. */
    private static Settings settings(Fields fields) {
        Map<String, String> values = new HashMap<>();
        while (fields.more()) {
            String pair = fields.text();
            int separator = pair.indexOf('=');
            if (separator < 1) {
                throw fields.malformed("not a setting: " + pair);
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

    /** A router that fails is reported on the wire, and the batch goes on. */
    private void deliver(long nowUs, int instance, CacheRouter router, Event event) {
        try {
            router.handle(nowUs, event, action -> actions.write(instance, action));
        } catch (RuntimeException failure) {
            actions.writeFailure(instance, failure);
        }
    }
}
