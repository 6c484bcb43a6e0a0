package clovermill.director.operations;

import clovermill.controlplane.admin.decide.AdminResponse;
import clovermill.controlplane.admin.decide.AdminService;
import clovermill.controlplane.policystore.PolicyStore;
import clovermill.controlplane.policystore.PolicyView;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.ProposalResult;
import clovermill.runtime.net.Clock;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Handles operators' calls about the replicated policy: showing the policy in force, proposing a change and withdrawing
 * it. Confined to the loop's thread.
 */
public final class PolicyEndpoint implements AdminService.Policies {

    private static final JsonMapper JSON = JsonMapper.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII).build();
    private static final int FIRST_NON_ASCII = 128;

    private final PolicyStore store;
    private final Clock clock;
    private final Executor loop;
    private PolicyView view = PolicyView.NONE;

    /** Creates the endpoint; responses are delivered on {@code loop}. */
    public PolicyEndpoint(PolicyStore store, Clock clock, Executor loop) {
        this.store = store;
        this.clock = clock;
        this.loop = loop;
    }

    /** Sets the current view, after the policy in force has changed or its lease was renewed. */
    public void update(PolicyView current) {
        view = current;
    }

    @Override
    public AdminResponse show() {
        if (view.step() == null) {
            return new AdminResponse(503, "this director has not learned of the policy yet");
        }
        try {
            return new AdminResponse(200, JSON.writeValueAsString(json(view, clock.micros())));
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible); // the store contains only parsed policies
        }
    }

    private static ObjectNode json(PolicyView view, long nowUs) throws JsonProcessingException {
        ObjectNode json = JSON.createObjectNode().put("version", view.step().version())
                .put("step", view.step().number())
                .put("lease_ms", Math.max(0, (view.leaseExpiresAtUs() - nowUs) / 1000));
        json.set("policy", JSON.readTree(view.policy().text()));
        if (view.step().inTransition()) {
            json.put("next", view.step().next()).put("at_the_latest_ms", view.remainingUs() / 1000);
            json.set("waits_for", JSON.valueToTree(view.unconfirmed()));
            json.set("next_policy", JSON.readTree(view.next().text()));
        }
        if (view.lastAbortReason() != null) {
            json.put("last_taken_back", view.lastAbortReason());
        }
        return json;
    }

    @Override
    public void propose(String body, Consumer<AdminResponse> reply) {
        JsonNode call;
        try {
            call = JSON.readTree(body);
        } catch (JsonProcessingException malformed) {
            reply.accept(new AdminResponse(400, "body: " + malformed.getOriginalMessage()));
            return;
        }
        if (call == null || !call.path("follows").isIntegralNumber() || !call.path("policy").isObject()) {
            reply.accept(new AdminResponse(400, "body: {\"follows\": VERSION, \"policy\": {...}} is wanted"));
            return;
        }
        change(call.get("follows").asLong(), PolicyDocument.of(asciiText(call.get("policy"))), reply);
    }

    @Override
    public void withdraw(Consumer<AdminResponse> reply) {
        if (view.step() == null || !view.step().inTransition()) {
            reply.accept(new AdminResponse(409, "no change is under way"));
            return;
        }
        change(view.step().next(), null, reply);
    }

    /** Requests a change from version {@code follows}; a null {@code policy} withdraws the change to that version. */
    private void change(long follows, PolicyDocument policy, Consumer<AdminResponse> reply) {
        store.requestChange(follows, policy,
                (result, version) -> loop.execute(() -> reply.accept(response(result, version))));
    }

    /** Returns the policy's text, with non-ASCII characters escaped. */
    private static String asciiText(JsonNode policy) {
        String text = policy.toString();
        if (text.chars().allMatch(character -> character < FIRST_NON_ASCII)) {
            return text;
        }
        try {
            return JSON.writeValueAsString(policy);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible); // it was parsed from JSON
        }
    }

    /** Returns the response to a proposal; a null {@code result} means that the queue was full. */
    private static AdminResponse response(ProposalResult result, long version) {
        if (result == null) {
            return new AdminResponse(503, "too many calls wait for the voters");
        }
        return result == ProposalResult.CONFLICT
                ? new AdminResponse(409, "another change came first: version " + version)
                : new AdminResponse(202, "{\"version\":" + version + "}");
    }
}
