package clovermill.dataplane.proxy;

import clovermill.routing.api.Action;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** A map from action types to handlers. Actions without a handler are ignored. */
final class ActionDispatcher {

    private final Map<Class<? extends Action>, Consumer<Action>> handlers = new HashMap<>();

    /** Registers the handler of a type. Actions are records, so an action's class is exactly its type. */
    <A extends Action> ActionDispatcher on(Class<A> type, Consumer<? super A> handler) {
        handlers.put(type, action -> handler.accept(type.cast(action)));
        return this;
    }

    /** Calls the handler of the action's type. */
    void dispatch(Action action) {
        Consumer<Action> handler = handlers.get(action.getClass());
        if (handler != null) {
            handler.accept(action);
        }
    }
}
