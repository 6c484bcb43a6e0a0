package clovermill.director;

import clovermill.config.Config;
import clovermill.controlplane.placement.Placement;
import clovermill.controlplane.policystore.PolicyRules;
import clovermill.controlplane.policystore.PolicyStore;
import clovermill.controlplane.policystore.PolicyStoreSettings;
import clovermill.controlplane.policystore.PolicyView;
import clovermill.dataplane.proxy.UsageListener;
import clovermill.director.operations.PolicyEndpoint;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

/** The fleet's replicated policy at this director: the store, the placement rules in force, and the admin endpoint. */
final class PolicyPlane {

    private final Placement placement;
    private final PolicyStore store;
    private final PolicyEndpoint endpoint;

    /**
     * Opens the replica's socket and, for a voter, its storage. {@code next} comes after the placement in the chain of
     * usage listeners.
     *
     * @throws IOException if the socket or the storage cannot be opened
     * @throws IllegalArgumentException naming the setting that cannot be used
     */
    PolicyPlane(PolicyStoreSettings settings, Config config, DirectorRuntime runtime, Optional<UsageListener> next)
            throws IOException {
        placement = new Placement(runtime.clock(), config.settings(), config.zones(), config.classes(),
                settings.rejectsAllWithoutLease(), next.orElse(null));
        PolicyRules rules = new PolicyRules(
                document -> placement.rejection(document.text()).orElse(null),
                (one, other) -> placement.sameWithoutLease(one.text(), other.text()));
        store = new PolicyStore(settings, rules, runtime.clock(), runtime.loop()::post, this::apply);
        endpoint = new PolicyEndpoint(store, runtime.clock(), runtime.loop()::post);
    }

    /** Enforces a policy view; called on the loop's thread, not before {@link #start}. */
    private void apply(PolicyView view) {
        if (view.step() != null) {
            List<String> policies = view.step().inTransition() ? List.of(view.policy().text(), view.next().text())
                    : List.of(view.policy().text());
            placement.enforce(policies, view.leaseExpiresAtUs());
        }
        endpoint.update(view);
    }

    /** Returns the placement, which bounds each request's attempts and is a usage listener. */
    Placement placement() {
        return placement;
    }

    /** Returns the handler of the admin calls about the policy. */
    PolicyEndpoint endpoint() {
        return endpoint;
    }

    /** Starts the replica's task. */
    void start() {
        store.start();
    }

    /** Stops the replica's task and closes its socket and storage. */
    void close() {
        store.close();
    }
}
